#include <radishspread/core/internal/rs_agent_loads.hpp>

#include <algorithm>

namespace radishspread::internal {

namespace {

/// More than one, since a single datagram may be lost.
constexpr unsigned misses_to_suspect = 2;

/// More than `misses_to_suspect`, since a few missing replies do not prove that
/// the agent has failed.
constexpr unsigned min_unreplied_for_unresponsive = 4;

/// Requests closer together count as one, since their replies may be lost
/// together.
constexpr duration unreplied_interval = std::chrono::milliseconds(100);

/// Time after which an uncertain agent is asked again: its table becomes
/// complete with the announcement of its backend server.
constexpr duration uncertainty_age_limit = std::chrono::milliseconds(300);

std::size_t index_of(std::uint8_t priority) {
    return std::min<std::size_t>(priority, agent_load::priorities - 1);
}

} // namespace

void agent_loads::load_reported(instant now, endpoint agent,
    agent_packet const& reply, std::uint8_t priority) {
    auto& load = loads_[agent];
    load.in_progress = reply.in_progress;
    if (reply.urgent != unknown_urgent)
        load.urgent[index_of(priority)] = {
            .requests = double(reply.urgent), .reported_at = now};
    load.flows = reply.flows;
    load.slots = reply.slots;
    load.reported_at = now;
    reply_received(now, agent);
}

void agent_loads::request_sent(instant now, endpoint agent) {
    reachability_.request_sent(now);
    auto& load = loads_[agent];
    if (load.unreplied == 0)
        load.unreplied_since = now;
    else if (now - load.last_counted_at < unreplied_interval)
        return;
    load.last_counted_at = now;
    ++load.unreplied;
}

bool agent_loads::is_unresponsive(
    instant now, endpoint agent, duration limit) const {
    auto const it = loads_.find(agent);
    return it != loads_.end() &&
           it->second.unreplied >= min_unreplied_for_unresponsive &&
           now - it->second.unreplied_since >= limit;
}

void agent_loads::opening_sent(instant now, endpoint agent) {
    reachability_.request_sent(now);
    auto& load = loads_[agent];
    load.in_progress += 1;
    for (auto& it : load.urgent)
        it.requests += 1;
    ++load.flows;
}

bool agent_loads::reply_missed(
    instant now, endpoint agent, duration suspect_time) {
    auto& load = loads_[agent];
    if (++load.consecutive_misses < misses_to_suspect)
        return false;
    bool const is_new = load.suspect_until <= now;
    load.suspect_until = now + suspect_time;
    return is_new;
}

void agent_loads::mark_suspect(endpoint agent, instant until) {
    loads_[agent].suspect_until = until;
}

void agent_loads::reply_received(instant now, endpoint agent) {
    if (reachability_.none_reachable(now, isolation_timeout_))
        clear_unreplied();
    reachability_.reply_received();
    auto& load = loads_[agent];
    load.consecutive_misses = 0;
    load.unreplied = 0;
    load.suspect_until = {};
}

void agent_loads::certainty_reported(
    instant now, endpoint agent, bool is_uncertain) {
    loads_[agent].uncertain_until =
        is_uncertain ? now + uncertainty_age_limit : instant{};
}

void agent_loads::clear_unreplied() {
    reachability_.reply_received();
    for (auto& [agent, load] : loads_)
        load.unreplied = 0;
}

bool agent_loads::is_suspect(instant now, endpoint agent) const {
    auto const it = loads_.find(agent);
    return it != loads_.end() && it->second.suspect_until > now;
}

bool agent_loads::failing_reported(instant now, endpoint agent, duration time) {
    auto& load = loads_[agent];
    bool const is_new = load.failing_until <= now;
    load.failing_until = now + time;
    return is_new;
}

bool agent_loads::is_failing(instant now, endpoint agent) const {
    auto const it = loads_.find(agent);
    return it != loads_.end() && it->second.failing_until > now;
}

std::size_t agent_loads::count_failing(instant now) const {
    return static_cast<std::size_t>(std::count_if(loads_.begin(), loads_.end(),
        [&](auto const& it) { return it.second.failing_until > now; }));
}

bool agent_loads::is_uncertain(instant now, endpoint agent) const {
    auto const it = loads_.find(agent);
    return it != loads_.end() && it->second.uncertain_until > now;
}

double agent_loads::load_per_slot(
    instant now, endpoint agent, unsigned slots) const {
    auto const it = loads_.find(agent);
    if (it == loads_.end() || now - it->second.reported_at > age_limit_)
        return 0;
    auto const n = it->second.slots != 0 ? it->second.slots : slots;
    return it->second.in_progress / std::max(n, 1U);
}

double agent_loads::urgent_per_slot(
    instant now, endpoint agent, unsigned slots, std::uint8_t priority) const {
    auto const load = load_per_slot(now, agent, slots);
    auto const found = loads_.find(agent);
    if (found == loads_.end())
        return load;
    auto const& it = found->second.urgent[index_of(priority)];
    if (now - it.reported_at > age_limit_)
        return load;
    auto const n = found->second.slots != 0 ? found->second.slots : slots;
    return std::min(load, it.requests / std::max(n, 1U));
}

double agent_loads::flows_per_slot(endpoint agent, unsigned slots) const {
    auto const it = loads_.find(agent);
    if (it == loads_.end())
        return 0;
    auto const n = it->second.slots != 0 ? it->second.slots : slots;
    return static_cast<double>(it->second.flows) / std::max(n, 1U);
}

} // namespace radishspread::internal
