#include <radishspread/config/rs_review_document.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace radishspread::config {

namespace {

constexpr std::string_view hosts_prefix = "hosts/";

/// Collects the findings about the sections of one document.
class document_review {
public:
    explicit document_review(std::span<section_ptr const> sections)
        : sections_(sections) {
        for (auto const& it : sections)
            index(*it);
    }

    std::vector<finding> run() && {
        for (auto const& it : sections_) {
            section_ = &it->name;
            if (auto const* service =
                    std::get_if<service_section>(&it->content))
                review(*service);
            if (auto const* hosts = std::get_if<hosts_section>(&it->content))
                review(*hosts);
            if (auto const* domains =
                    std::get_if<domains_section>(&it->content))
                review(*domains);
        }
        return std::move(found_);
    }

private:
    void index(section const& it) {
        if (auto const* service = std::get_if<service_section>(&it.content)) {
            has_services_ = true;
            for (auto const& each : service->backend_servers) {
                domain_of_[each.name] = each.domain_name;
                used_domains_.insert(each.domain_name);
            }
        }
        if (auto const* domains = std::get_if<domains_section>(&it.content))
            for (auto const& each : domains->failure_domains)
                if (each.is_out)
                    domains_out_.insert(each.name);
    }

    void review(service_section const& service) {
        for (auto const& it : service.backend_servers)
            if (it.slots > it.connections)
                add(finding_kind::contradiction,
                    it.name + " has " + std::to_string(it.slots) +
                        " slots and at most " + std::to_string(it.connections) +
                        " connections, so some slots stay free");
        bool const has_candidate = std::any_of(service.backend_servers.begin(),
            service.backend_servers.end(), [&](auto const& it) {
                return !it.is_draining &&
                       !domains_out_.contains(it.domain_name);
            });
        if (!has_candidate)
            add(finding_kind::unused,
                "no backend server takes flows: all drain or their failure "
                "domains are out");
    }

    void review(hosts_section const& hosts) {
        if (!has_services_)
            return;
        auto const domain = section_->substr(hosts_prefix.size());
        for (auto const& it : hosts.hosts) {
            auto const found = domain_of_.find(it.name);
            if (found == domain_of_.end())
                add(finding_kind::unused,
                    "host " + it.name + " has no backend server");
            else if (found->second != domain)
                add(finding_kind::contradiction,
                    "host " + it.name + " has its backend server in " +
                        found->second);
        }
    }

    void review(domains_section const& domains) {
        if (!has_services_)
            return;
        for (auto const& it : domains.failure_domains)
            if (!used_domains_.contains(it.name))
                add(finding_kind::unused,
                    "failure domain " + it.name + " has no backend server");
    }

    void add(finding_kind kind, std::string text) {
        found_.push_back(
            {.kind = kind, .section = *section_, .text = std::move(text)});
    }

    std::span<section_ptr const> sections_;
    bool has_services_ = false;
    std::map<std::string, std::string> domain_of_; ///< By backend server.
    std::set<std::string> used_domains_;
    std::set<std::string> domains_out_;
    std::string const* section_ = nullptr;
    std::vector<finding> found_;
};

} // namespace

std::vector<finding> review_document(std::span<section_ptr const> sections) {
    return document_review(sections).run();
}

} // namespace radishspread::config
