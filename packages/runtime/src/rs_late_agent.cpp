#include <radishspread/runtime/rs_late_agent.hpp>

#include <algorithm>

namespace radishspread::runtime {

std::optional<agent_numbers> find_numbers(
    document const& view, document_options const& options) {
    auto const service = view.find("service/" + options.service);
    auto const domains = view.find("domains");
    if (service == nullptr || domains == nullptr)
        return std::nullopt;
    auto const* own = std::get_if<service_section>(&service->content);
    auto const* all = std::get_if<domains_section>(&domains->content);
    if (own == nullptr || all == nullptr)
        return std::nullopt;
    auto const& list = all->failure_domains;
    auto const it =
        std::find_if(list.begin(), list.end(), [&](auto const& entry) {
            return entry.name == options.failure_domain;
        });
    if (it == list.end())
        return std::nullopt;
    return agent_numbers{.service = own->id, .domain = it->id};
}

} // namespace radishspread::runtime
