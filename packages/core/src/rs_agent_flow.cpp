#include <radishspread/core/internal/rs_agent_flow.hpp>
#include <radishspread/core/internal/rs_agent_window.hpp>

#include <algorithm>

namespace radishspread::agent_internal {

request_record* flow_entry::find(request_id id) {
    auto const it = std::find_if(records.begin(), records.end(),
        [id](auto const& record) { return record.id == id; });
    return it == records.end() ? nullptr : &*it;
}

request_record& flow_entry::add(request_id id) {
    take(window, id);
    std::erase_if(records, [this](auto const& record) {
        return position_of(window, record.id) == window_position::stale;
    });
    return records.emplace_back(request_record{.id = id});
}

void flow_entry::withdraw(request_id id) {
    release(window, id);
    std::erase_if(
        records, [id](auto const& record) { return record.id == id; });
}

} // namespace radishspread::agent_internal
