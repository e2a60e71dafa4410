#include <radishspread/core/internal/rs_agent_handover_decisions.hpp>

namespace radishspread::agent_internal {

handover_decision const* handover_decision_table::find(handover_key key) const {
    auto const it = rows_.find(key);
    return it == rows_.end() ? nullptr : &it->second;
}

void handover_decision_table::add(
    instant now, handover_key key, handover_decision decision) {
    bool const is_new = rows_.emplace(key, decision).second;
    if (is_new)
        expiry_order_.push_back({.added = now, .key = key});
}

void handover_decision_table::expire(instant now) {
    while (!expiry_order_.empty() &&
           expiry_order_.front().added + lifetime <= now) {
        rows_.erase(expiry_order_.front().key);
        expiry_order_.pop_front();
    }
}

} // namespace radishspread::agent_internal
