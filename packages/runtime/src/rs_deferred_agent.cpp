#include <radishspread/runtime/rs_deferred_agent.hpp>

#include <algorithm>

namespace radishspread::runtime {

std::optional<agent_ids> find_agent_ids(
    document const& view, document_options const& options) {
    auto const service = view.find("service/" + options.service);
    auto const domains = view.find("domains");
    if (service == nullptr || domains == nullptr)
        return std::nullopt;
    auto const* service_content =
        std::get_if<service_section>(&service->content);
    auto const* domains_content =
        std::get_if<domains_section>(&domains->content);
    if (service_content == nullptr || domains_content == nullptr)
        return std::nullopt;
    auto const& list = domains_content->failure_domains;
    auto const it =
        std::find_if(list.begin(), list.end(), [&](auto const& entry) {
            return entry.name == options.failure_domain;
        });
    if (it == list.end())
        return std::nullopt;
    return agent_ids{.service = service_content->id, .domain = it->id};
}

} // namespace radishspread::runtime
