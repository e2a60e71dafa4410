#include <radishspread/core/internal/rs_agent_ledger.hpp>

namespace radishspread::agent_internal {

handover_decision const* handover_ledger::find(handover_key key) const {
    auto const it = rows_.find(key);
    return it == rows_.end() ? nullptr : &it->second;
}

void handover_ledger::add(
    instant now, handover_key key, handover_decision decision) {
    bool const is_new = rows_.emplace(key, decision).second;
    if (is_new)
        ages_.push_back({.added = now, .key = key});
}

void handover_ledger::expire(instant now) {
    while (!ages_.empty() && ages_.front().added + lifetime <= now) {
        rows_.erase(ages_.front().key);
        ages_.pop_front();
    }
}

} // namespace radishspread::agent_internal
