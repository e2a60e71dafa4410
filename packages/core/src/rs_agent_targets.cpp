#include <radishspread/core/internal/rs_agent_state.hpp>
#include <radishspread/core/rs_candidate_selection.hpp>

namespace radishspread::agent_internal {

candidate_list agent_state::choose_targets(flow_key const& key) const {
    auto const* const service = view.service(options.service);
    if (service == nullptr)
        return {};
    auto const is_out = [this](domain_id id) {
        return view.is_out(id);
    };
    auto const is_host_leaving = [this](std::string_view host) {
        return view.is_leaving(host);
    };
    candidate_table table;
    for (auto const& entry : service->backend_servers) {
        auto const status = eligibility(entry, is_out, is_host_leaving);
        bool const is_other =
            entry.id != options.backend && entry.agent != options.document.self;
        if (is_other && status == candidate_status::ranked_lower)
            table.add(entry);
    }
    if (table.is_empty())
        return {};
    return table.select(hash_value(key), 0);
}

} // namespace radishspread::agent_internal
