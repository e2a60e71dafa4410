#include <radishspread/core/internal/rs_agent_loads.hpp>

#include <algorithm>

namespace radishspread::internal {

namespace {

/// One lost datagram does not make an agent suspect.
constexpr unsigned strikes_to_pass_over = 2;

/// Nor do a few prove that it is gone.
constexpr unsigned questions_to_be_silent = 4;

} // namespace

void agent_loads::report(
    instant now, endpoint agent, agent_packet const& answer) {
    auto& it = loads_[agent];
    it.in_progress = answer.in_progress;
    it.flows = answer.flows;
    it.slots = answer.slots;
    it.reported_at = now;
    heard(agent);
}

void agent_loads::asked(instant now, endpoint agent) {
    contact_.asked(now);
    auto& it = loads_[agent];
    if (it.unanswered == 0)
        it.silent_since = now;
    ++it.unanswered;
}

bool agent_loads::is_silent(instant now, endpoint agent, duration limit) const {
    auto const it = loads_.find(agent);
    return it != loads_.end() &&
           it->second.unanswered >= questions_to_be_silent &&
           now - it->second.silent_since >= limit;
}

void agent_loads::sent(instant now, endpoint agent) {
    contact_.asked(now);
    auto& it = loads_[agent];
    it.in_progress += 1;
    ++it.flows;
}

bool agent_loads::missed(instant now, endpoint agent, duration pass_over) {
    auto& it = loads_[agent];
    if (++it.strikes < strikes_to_pass_over)
        return false;
    bool const is_new = it.passed_over_until <= now;
    it.passed_over_until = now + pass_over;
    return is_new;
}

void agent_loads::pass_over(endpoint agent, instant until) {
    loads_[agent].passed_over_until = until;
}

void agent_loads::heard(endpoint agent) {
    contact_.heard();
    auto& it = loads_[agent];
    it.strikes = 0;
    it.unanswered = 0;
    it.passed_over_until = {};
}

void agent_loads::forget_silence() {
    contact_.heard();
    for (auto& [agent, it] : loads_)
        it.unanswered = 0;
}

endpoint agent_loads::next_agent() {
    auto it = loads_.upper_bound(last_in_turn_);
    if (it == loads_.end())
        it = loads_.begin();
    last_in_turn_ = it == loads_.end() ? endpoint{} : it->first;
    return last_in_turn_;
}

bool agent_loads::is_passed_over(instant now, endpoint agent) const {
    auto const it = loads_.find(agent);
    return it != loads_.end() && it->second.passed_over_until > now;
}

double agent_loads::share(instant now, endpoint agent, unsigned slots) const {
    auto const it = loads_.find(agent);
    if (it == loads_.end() || now - it->second.reported_at > age_limit_)
        return 0;
    auto const n = it->second.slots != 0 ? it->second.slots : slots;
    return it->second.in_progress / std::max(n, 1U);
}

double agent_loads::flow_share(endpoint agent, unsigned slots) const {
    auto const it = loads_.find(agent);
    if (it == loads_.end())
        return 0;
    auto const n = it->second.slots != 0 ? it->second.slots : slots;
    return static_cast<double>(it->second.flows) / std::max(n, 1U);
}

} // namespace radishspread::internal
