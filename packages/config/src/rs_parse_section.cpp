#include <radishspread/config/rs_parse_section.hpp>

#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/config/internal/rs_section_readers.hpp>
#include <radishspread/config/internal/rs_yaml_tree.hpp>

namespace radishspread::config {

using namespace internal;

namespace {

constexpr std::string_view service_prefix = "service/";
constexpr std::string_view hosts_prefix = "hosts/";

bool is_section_name(std::string_view name) {
    if (name == "domains")
        return true;
    for (auto const& prefix : {service_prefix, hosts_prefix})
        if (name.starts_with(prefix))
            return is_name(name.substr(prefix.size()));
    return false;
}

} // namespace

parsed_section parse_section(std::string_view name, revision held,
    std::string_view text, domains_section const* domains) {
    fault_list faults(name);
    if (!is_section_name(name)) {
        faults.add({}, {},
            "expected a section named domains, service/NAME or hosts/DOMAIN");
        return {.value = nullptr, .faults = faults.take()};
    }
    auto const root = parse_yaml(text, faults);
    if (!faults.empty())
        return {.value = nullptr, .faults = faults.take()};
    section result{.name = std::string(name), .held = held};
    if (name.starts_with(service_prefix))
        result.content = read_service(
            root, name.substr(service_prefix.size()), domains, faults);
    else if (name.starts_with(hosts_prefix))
        result.content = read_hosts(root, faults);
    else
        result.content = read_domains(root, faults);
    if (!faults.empty())
        return {.value = nullptr, .faults = faults.take()};
    result.text = text;
    return {.value = std::make_shared<section const>(std::move(result)),
        .faults = {}};
}

} // namespace radishspread::config
