#include <radishspread/core/internal/rs_agent_flow_table.hpp>

namespace radishspread::agent_internal {

flow_entry& flow_table::add(
    flow_key const& key, flow_state state, instant now) {
    auto const opening = ++last_opening_;
    auto& it = rows_[opening];
    it.key = key;
    it.opening = opening;
    it.state = state;
    it.last_packet = now;
    if (state == flow_state::reserved) {
        reservations_[key] = opening;
        it.is_pending = true;
        ++pending_;
    }
    return it;
}

flow_entry* flow_table::find(open_id opening) {
    auto const it = rows_.find(opening);
    return it == rows_.end() ? nullptr : &it->second;
}

flow_entry* flow_table::find_reservation(flow_key const& key) {
    auto const it = reservations_.find(key);
    return it == reservations_.end() ? nullptr : find(it->second);
}

flow_entry* flow_table::find_moved(
    flow_key const& key, route_cookie const& cookie) {
    auto const it = moved_by_key_.find(key);
    auto* const flow = it == moved_by_key_.end() ? nullptr : find(it->second);
    bool const is_same = flow != nullptr && flow->out.moved_to == cookie;
    return is_same ? flow : nullptr;
}

void flow_table::remove_moved(flow_entry const& it) {
    --moved_;
    auto const newest = moved_by_key_.find(it.key);
    if (newest != moved_by_key_.end() && newest->second == it.opening)
        moved_by_key_.erase(newest);
}

void flow_table::establish(flow_entry& it) {
    if (it.state != flow_state::reserved)
        return;
    it.state = flow_state::established;
    reservations_.erase(it.key);
    end_pending(it);
}

void flow_table::end_pending(flow_entry& it) {
    if (it.is_pending)
        --pending_;
    it.is_pending = false;
}

void flow_table::set_moved(flow_entry& it) {
    it.state = flow_state::moved;
    ++moved_;
    moved_by_key_[it.key] = it.opening;
}

void flow_table::erase(open_id opening) {
    auto const it = rows_.find(opening);
    if (it == rows_.end())
        return;
    if (it->second.state == flow_state::reserved)
        reservations_.erase(it->second.key);
    end_pending(it->second);
    if (it->second.state == flow_state::moved)
        remove_moved(it->second);
    rows_.erase(it);
}

open_id flow_table::oldest_moved() const {
    flow_entry const* oldest = nullptr;
    for (auto const& [opening, it] : rows_) {
        if (it.state != flow_state::moved)
            continue;
        if (oldest == nullptr || it.last_packet < oldest->last_packet)
            oldest = &it;
    }
    return oldest == nullptr ? 0 : oldest->opening;
}

} // namespace radishspread::agent_internal
