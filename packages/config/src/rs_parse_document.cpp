#include <radishspread/config/rs_parse_document.hpp>

#include <radishspread/config/rs_parse_section.hpp>

#include <algorithm>
#include <map>
#include <string_view>

namespace radishspread::config {

namespace {

constexpr std::string_view hosts_prefix = "hosts/";

/// Parses one source, adds its section and its faults to `out`, and returns the
/// section.
section_ptr add(section_source const& source, domains_section const* domains,
    parsed_document& out) {
    auto parsed = parse_section(source.name, 1, source.text, domains);
    for (auto& each : parsed.faults) {
        each.file = source.file;
        out.faults.push_back(std::move(each));
    }
    if (parsed.value)
        out.sections.push_back(parsed.value);
    return parsed.value;
}

/// Reports ids, ports and agents that are used by two services of a document.
class conflict_checker {
public:
    explicit conflict_checker(parsed_document& out) : out_(out) {}

    void add(service_section const& it, std::string const& file) {
        file_ = &file;
        check("id " + std::to_string(it.id), "id");
        check("port " + std::to_string(it.port), "port");
        for (auto const& each : it.backend_servers) {
            check("backend server id " + std::to_string(each.id),
                "backend_servers." + each.name + ".id");
            check("agent " + to_string(each.agent),
                "backend_servers." + each.name + ".agent");
        }
    }

private:
    void check(std::string const& value, std::string const& key) {
        auto const [found, is_new] = users_.emplace(value, *file_);
        if (!is_new)
            out_.faults.push_back({.file = *file_,
                .key = key,
                .expected = "expected " + value +
                            " in one section only, also in " + found->second});
    }

    parsed_document& out_;
    std::string const* file_ = nullptr;
    std::map<std::string, std::string> users_;
};

void check_hosts(section_source const& source, domains_section const* domains,
    parsed_document& out) {
    if (domains == nullptr || !source.name.starts_with(hosts_prefix))
        return;
    auto const name = source.name.substr(hosts_prefix.size());
    auto const found =
        std::ranges::find(domains->failure_domains, name, &domain_entry::name);
    if (found == domains->failure_domains.end())
        out.faults.push_back({.file = source.file,
            .expected = "expected a failure domain of the section 'domains', "
                        "found '" +
                        name + '\''});
}

void check_names(
    std::span<section_source const> sources, parsed_document& out) {
    std::map<std::string_view, std::string_view> files;
    for (auto const& each : sources) {
        auto const [found, is_new] = files.emplace(each.name, each.file);
        if (!is_new)
            out.faults.push_back({.file = each.file,
                .expected = "expected each section once, found duplicate '" +
                            each.name + '\''});
    }
}

} // namespace

parsed_document parse_document(std::span<section_source const> sources) {
    parsed_document out;
    check_names(sources, out);
    domains_section const* domains = nullptr;
    for (auto const& each : sources)
        if (each.name == "domains")
            if (auto const value = add(each, nullptr, out))
                domains = &std::get<domains_section>(value->content);
    conflict_checker conflicts(out);
    for (auto const& each : sources) {
        if (each.name == "domains")
            continue;
        check_hosts(each, domains, out);
        auto const value = add(each, domains, out);
        if (value == nullptr)
            continue;
        if (auto const* it = std::get_if<service_section>(&value->content))
            conflicts.add(*it, each.file);
    }
    return out;
}

} // namespace radishspread::config
