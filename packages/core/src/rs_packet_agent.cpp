#include <radishspread/core/rs_packet_agent.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace radishspread {

using internal::held_flow;
using internal::held_state;

namespace {

/// Interval of trial openings to an unresponsive backend server.
constexpr duration trial_interval = std::chrono::milliseconds(200);

/// A backend server counts as started together with its agent if it started at
/// most this long before it: the order of their starts is undefined.
constexpr std::uint64_t start_tolerance_ms = 1000;

/// A restarted process was down for longer than this.
constexpr std::uint64_t restart_gap_ms = 300;

/// Most by which the time of day that a backend server and its agent read at
/// the same moment differs while the host's clock is right.
constexpr std::uint64_t clock_tolerance_ms = 100;

bool counts_as_open(held_state state) {
    return state <= held_state::open;
}

} // namespace

packet_agent::packet_agent(packet_agent_options options)
    : options_(options), queue_(options.opening_age_limit) {}

std::size_t packet_agent::slots() const {
    auto const* self = find_announced();
    return self == nullptr ? reported_slots_ : self->slots;
}

// Under other routes than the balancer's, the agent cannot tell which flows the
// balancer searches for here, so it lists all.
std::vector<std::uint64_t> packet_agent::listable_flows(
    agent_packet const& query) const {
    bool const lists_all =
        !query.is_of_reassigned || query.route_version != view_.route_version();
    std::vector<std::uint64_t> out;
    for (auto const& [flow, it] : flows_) {
        bool const is_held =
            it.state != held_state::absent && it.state != held_state::probed;
        if (is_held &&
            (lists_all || view_.service_of(flow.service) != options_.service))
            out.push_back(hash_value(flow));
    }
    return out;
}

std::size_t packet_agent::queue_limit() const {
    auto const n = slots();
    if (n == 0)
        return std::numeric_limits<std::size_t>::max();
    return n + std::max<std::size_t>(
                   1, static_cast<std::size_t>(
                          options_.queue_overcommit * static_cast<double>(n)));
}

agent_packet packet_agent::make_report(
    agent_packet_kind kind, packet_flow const& flow) const {
    auto const priority = view_.priority_of(flow.service);
    return {.kind = kind,
        .service = options_.service,
        .route_version = view_.route_version(),
        .in_progress =
            static_cast<std::uint16_t>(in_progress_.total() + queue_.size()),
        .urgent =
            static_cast<std::uint16_t>(in_progress_.count_urgent(priority) +
                                       queue_.count_urgent(priority)),
        .slots = static_cast<std::uint16_t>(slots()),
        .flows = static_cast<std::uint16_t>(open_),
        .flow = flow};
}

internal::opening_cost packet_agent::cost_of(
    instant now, agent_packet const& message) const {
    auto const address = message.flow.service;
    auto const* route = view_.route_of(address);
    bool const has_goal = route != nullptr && route->goal > duration{0};
    return {.first_sent_at = now - std::chrono::milliseconds(message.age_ms),
        .goal = has_goal ? route->goal : options_.default_goal,
        .work = work_.of(address),
        .priority = view_.priority_of(address)};
}

bool packet_agent::has_room(agent_packet const& message) const {
    auto const n = slots();
    auto const most = message.may_queue ? queue_limit() : n;
    return n == 0 || in_progress_.total() < most;
}

// Requests on open flows reach the backend server without an admission, so that
// under overload they would take all slots before the openings, however urgent
// these are. While only this backend server is slow or stuck, openings can go
// to others, and the requests on its flows cannot.
bool packet_agent::must_wait(
    held_flow const& held, flow_packet const& packet) const {
    bool const begins_request =
        held.state == held_state::open && !held.is_outstanding &&
        packet.payload_size > 0 && !packet.is_finish &&
        held.is_new_end(packet.sequence + packet.payload_size);
    return begins_request && slots() != 0 &&
           in_progress_.total() - stuck_ >= queue_limit() &&
           queue_.must_precede(view_.priority_of(held.route));
}

bool packet_agent::is_cold(instant now, agent_packet const& message) const {
    if (message.is_cold)
        return true;
    auto const* self = find_announced();
    if (self == nullptr)
        return true;
    auto const restored_at = view_.restored_at(options_.domain);
    bool const is_just_restored =
        restored_at != instant{} &&
        now - restored_at < options_.restored_cold_period;
    return is_just_restored || self->cold_until > now;
}

// The agent makes all admission checks itself because only it sees the openings
// of all balancers. The balancers' own checks only save a message.
refusal packet_agent::check_admission(
    instant now, agent_packet const& message) {
    if (message.service != options_.service)
        return refusal::other_service;
    // Routes that this process has replaced are never used again.
    if (message.route_version < view_.route_version()) {
        auto const service = view_.service_of(message.flow.service);
        if (service != options_.service)
            return service == 0 ? refusal::unknown_route
                                : refusal::other_service;
    }
    if (view_.is_out(options_.domain))
        return refusal::domain_out;
    auto const* self = find_announced();
    // A removed announcement is no reason to decline: it may have expired, and
    // a backend server that no longer exists is found to be unresponsive.
    if (self != nullptr && self->is_draining)
        return refusal::draining;
    if (is_unresponsive_ && now < next_trial_at_)
        return refusal::unresponsive;
    // An opening that may be queued has found no better backend server.
    if (health_.is_failing(now) && !message.may_queue &&
        !health_.take_trial(now))
        return refusal::failing;
    reported_slots_ = message.slots;
    if (!has_room(message))
        return refusal::overloaded;
    if (message.cold_rate != 0 && is_cold(now, message)) {
        auto const rate = std::max<std::size_t>(
            1, static_cast<std::size_t>(message.cold_rate / cold_rate_units));
        if (!cold_window_.admit(now, rate))
            return refusal::warming_up;
    } else {
        // Counts towards the limit if the backend server proves to be cold.
        cold_window_.add(now);
    }
    if (is_unresponsive_)
        next_trial_at_ = now + trial_interval;
    return refusal::none;
}

void packet_agent::set_state(held_flow& it, held_state value) {
    if (counts_as_open(it.state))
        --open_;
    it.state = value;
    if (counts_as_open(it.state))
        ++open_;
}

void packet_agent::record_response(instant now, held_flow& it) {
    if (it.is_outstanding) {
        work_.record(it.route, now - it.outstanding_since);
        if (!it.has_failed)
            health_.record(now, false);
    }
    set_outstanding(now, it, false);
}

void packet_agent::set_outstanding(instant now, held_flow& it, bool value) {
    if (it.is_outstanding == value)
        return;
    it.is_outstanding = value;
    if (!value) {
        stuck_ -= it.has_failed ? 1U : 0U;
        return in_progress_.remove(it.priority);
    }
    it.outstanding_since = now;
    it.has_failed = false;
    it.priority = view_.priority_of(it.route);
    in_progress_.add(it.priority);
}

held_flow& packet_agent::insert(instant now, packet_flow const& flow) {
    auto const [it, is_new] = flows_.try_emplace(flow);
    if (is_new) {
        ++open_; // The state of a new entry counts as open.
        it->second.route = flow.service;
        it->second.opened_at = now;
        it->second.last_packet_at = now;
    }
    return it->second;
}

void packet_agent::expire_responses(instant now) {
    while (
        !awaiting_response_.empty() &&
        now - awaiting_response_.front().first >= options_.min_response_limit) {
        auto const [since, flow] = awaiting_response_.front();
        auto const limit =
            std::min<duration>(work_.of(flow.service) * options_.slow_factor,
                options_.request_timeout);
        if (now - since < limit)
            return;
        awaiting_response_.pop_front();
        auto const found = flows_.find(flow);
        bool const is_outstanding =
            found != flows_.end() && found->second.is_outstanding &&
            found->second.has_data && found->second.outstanding_since == since;
        if (!is_outstanding)
            continue;
        found->second.has_failed = true;
        ++stuck_;
        health_.record(now, true);
    }
}

void packet_agent::expire_unused(instant now) {
    while (!unused_.empty() &&
           now - unused_.front().first >= options_.unused_limit) {
        auto const it = flows_.find(unused_.front().second);
        if (it != flows_.end() && !it->second.has_data)
            set_outstanding(now, it->second, false);
        unused_.pop_front();
    }
}

bool packet_agent::is_in_future(
    instant now, std::uint64_t start_unix_ms) const {
    auto const age = (now - started_at_) / std::chrono::milliseconds(1);
    auto const now_unix_ms =
        options_.start_unix_ms + static_cast<std::uint64_t>(age);
    return start_unix_ms > now_unix_ms + clock_tolerance_ms;
}

// If the backend server started after this agent or together with it, the flow
// table has all its flows, so unknown flows need no probe. A backend server
// that was announced before the first read may have taken flows through the
// agent's previous process, unless it started after that process ended.
void packet_agent::apply_announcement(
    instant now, fleet_view::member const* self) {
    if (!std::exchange(has_read_, true) && self != nullptr) {
        first_announced_start_ = self->start_unix_ms;
        is_first_start_wrong_ = is_in_future(now, self->start_unix_ms);
    }
    if (self == nullptr)
        return;
    // A start that has not come yet was read from a clock that has jumped back
    // since, so it does not tell which process started first.
    if (is_first_start_wrong_ && self->start_unix_ms == first_announced_start_)
        return;
    auto const tolerance = self->start_unix_ms == first_announced_start_
                               ? restart_gap_ms
                               : start_tolerance_ms;
    if (self->start_unix_ms + tolerance >= options_.start_unix_ms)
        is_table_complete_ = true;
}

// Any host can send messages, so the table has a limit. A balancer that is left
// out is not notified when the agent leaves, and finds out by its own timeout.
void packet_agent::record_balancer(instant now, endpoint from) {
    auto const found = balancers_.find(from);
    if (found != balancers_.end())
        found->second = now;
    else if (balancers_.size() < options_.max_balancers)
        balancers_.emplace(from, now);
}

void packet_agent::sweep(instant now) {
    std::erase_if(balancers_, [&](auto const& it) {
        return now - it.second >= options_.balancer_age_limit;
    });
    for (auto entry = flows_.begin(); entry != flows_.end();) {
        auto& it = entry->second;
        auto const age = now - it.last_packet_at;
        auto const limit = it.state == held_state::ended ? options_.ended_limit
                                                         : options_.idle_limit;
        if (age >= options_.request_timeout)
            set_outstanding(now, it, false);
        if (age >= limit) {
            set_state(it, held_state::ended);
            entry = flows_.erase(entry);
        } else {
            ++entry;
        }
    }
}

void packet_agent::record_caller_packet(
    instant now, held_flow& it, flow_packet const& packet) {
    it.last_packet_at = now;
    if (it.state == held_state::replied)
        set_state(it, held_state::open);
    if (packet.payload_size > 0) {
        it.has_data = true;
        if (it.record_caller_bytes(packet.sequence + packet.payload_size))
            set_outstanding(now, it, true);
        if (it.is_outstanding && awaiting_response_.size() < options_.max_flows)
            awaiting_response_.emplace_back(
                it.outstanding_since, packet.from_caller());
    }
    it.caller_finished = it.caller_finished || packet.is_finish;
    if (packet.is_reset || (it.caller_finished && it.backend_finished)) {
        set_outstanding(now, it, false);
        set_state(it, held_state::ended);
    }
}

void packet_agent::record_backend_packet(
    instant now, held_flow& it, flow_packet const& packet) {
    it.last_packet_at = now;
    bool const ends_without_response =
        packet.payload_size == 0 && (packet.is_finish || packet.is_reset);
    // A finish may overtake the response that was sent before it.
    bool const is_failure = packet.is_reset && it.is_outstanding &&
                            it.has_data && !it.has_failed &&
                            it.state == held_state::open;
    if (is_failure)
        health_.record(now, true);
    if (packet.payload_size > 0)
        record_response(now, it);
    else if (ends_without_response)
        set_outstanding(now, it, false);
    it.backend_finished = it.backend_finished || packet.is_finish;
    if (packet.is_reset || (it.caller_finished && it.backend_finished)) {
        set_outstanding(now, it, false);
        set_state(it, held_state::ended);
    }
}

} // namespace radishspread
