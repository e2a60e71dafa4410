#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_BALANCER_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_BALANCER_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishspread {

template <packet_sink Sink> void packet_balancer::start(instant now, Sink&) {
    last_event_at_ = now;
    next_sweep_at_ = now + std::chrono::seconds(1);
}

template <packet_sink Sink>
bool packet_balancer::check_pause(instant now, Sink& sink) {
    auto const gap = now - last_event_at_;
    last_event_at_ = now;
    if (gap <= options_.pause_limit)
        return false;
    sink.log({.number = packet_event::paused,
        .value = gap / std::chrono::milliseconds(1)});
    // Callers have abandoned the openings from before the pause, and the routes
    // may have changed since.
    openings_.clear();
    searches_.clear();
    loads_.clear_unreplied();
    is_proven_ = false;
    sink.refresh_view();
    return true;
}

template <packet_sink Sink>
void packet_balancer::view_confirmed(
    instant now, instant read_started, Sink& sink) {
    is_proven_ = true;
    for (auto it = openings_.begin(); it != openings_.end();) {
        auto& entry = it->second;
        bool const is_over =
            entry.awaits_view && !start_opening(now, it->first, entry, sink);
        it = is_over ? openings_.erase(it) : std::next(it);
    }
    apply_routes_to_searches(now);
    confirm_rejections(now, read_started, sink);
    continue_searches(now, sink);
}

template <packet_sink Sink>
void packet_balancer::handle_caller(
    instant now, flow_packet const& packet, Sink& sink) {
    last_event_at_ = now;
    apply_routes_to_searches(now);
    if (packet.is_opening_reply || packet.is_returned)
        return;
    if (packet.is_opening)
        on_open(now, packet, sink);
    else
        on_packet(now, packet, sink);
}

template <packet_sink Sink>
void packet_balancer::on_open(
    instant now, flow_packet const& packet, Sink& sink) {
    auto const flow = packet.from_caller();
    if (auto const it = flows_.find(flow); it != flows_.end()) {
        // A retransmission; the agent knows whether its backend server has
        // replied.
        it->second.last_packet_at = now;
        auto const service = view_.service_of(flow.service);
        auto const agent = it->second.holder.agent;
        return sink.send(
            agent, make_open(now, flow, service, agent, packet.bytes));
    }
    auto const [entry, is_new] = openings_.try_emplace(flow);
    if (!is_new) {
        // A retransmission. It is redundant while a reply timeout is running,
        // since the balancer then retries by itself; otherwise it is the only
        // retry.
        auto& pending = entry->second;
        if (!pending.awaits_view && pending.reply_due == instant::max())
            resend_open(now, flow, pending, sink);
        return;
    }
    if (openings_.size() > options_.max_openings) {
        openings_.erase(entry);
        sink.log({.number = packet_event::opening_refused,
            .flow = flow,
            .why = refusal::overloaded,
            .version = view_.route_version(),
            .priority = view_.priority_of(flow.service)});
        return sink.reset_caller(flow, 0);
    }
    auto& pending = entry->second;
    pending.first_sent_at = now - packet.opening_age;
    pending.packet.assign(packet.bytes.begin(), packet.bytes.end());
    pending.awaits_view = !is_ready();
    if (pending.awaits_view)
        pending.reply_due = instant::max();
    else if (!start_opening(now, flow, pending, sink))
        openings_.erase(flow);
}

template <packet_sink Sink>
bool packet_balancer::start_opening(
    instant now, packet_flow const& flow, opening& pending, Sink& sink) {
    pending.awaits_view = false;
    pending.clear_attempts();
    pending.service = view_.service_of(flow.service);
    pending.priority = view_.priority_of(flow.service);
    if (pending.service != 0)
        return place_opening(now, flow, pending, sink);
    sink.log({.number = packet_event::opening_refused,
        .flow = flow,
        .why = refusal::unknown_route,
        .version = view_.route_version()});
    sink.reset_caller(flow, 0);
    return false;
}

template <packet_sink Sink>
bool packet_balancer::place_opening(
    instant now, packet_flow const& flow, opening& pending, Sink& sink) {
    auto const list = candidates(now, pending);
    auto const* chosen =
        internal::choose_agent({list.data(), list.size()}, random_.next());
    if (chosen == nullptr || pending.declines >= options_.max_declines)
        return on_agents_exhausted(now, flow, pending, sink);
    // All candidates have reported a backlog or that they fail. Trying them one
    // after another for a free slot would only delay the opening.
    pending.is_service_full =
        chosen->load_per_slot >= internal::backlog_load_per_slot;
    if (pending.is_service_full || chosen->is_failing)
        pending.may_queue = true;
    send_open(now, flow, pending, chosen->agent, sink);
    return true;
}

template <packet_sink Sink>
void packet_balancer::send_open(instant now, packet_flow const& flow,
    opening& pending, endpoint agent, Sink& sink) {
    pending.tried.push_back(agent);
    pending.agent = agent;
    pending.reply_due = now + options_.reply_timeout;
    pending.is_queued = false;
    loads_.opening_sent(now, agent);
    auto message = make_open(now, flow, pending.service, agent,
        {pending.packet.data(), pending.packet.size()});
    message.may_queue = pending.may_queue;
    message.is_service_full = pending.is_service_full;
    message.age_ms = pending.age_ms(now);
    sink.log(
        {.number = pending.tried.size() == 1 ? packet_event::opening_sent
                                             : packet_event::opening_reassigned,
            .flow = flow,
            .peer = agent,
            .why = pending.last_refusal,
            .version = view_.route_version(),
            .value = static_cast<std::int64_t>(pending.tried.size())});
    sink.send(agent, message);
}

template <packet_sink Sink>
void packet_balancer::resend_open(
    instant now, packet_flow const& flow, opening& pending, Sink& sink) {
    pending.reply_due = now + options_.reply_timeout;
    auto message = make_open(now, flow, pending.service, pending.agent,
        {pending.packet.data(), pending.packet.size()});
    message.may_queue = pending.may_queue;
    message.is_service_full = pending.is_service_full;
    message.age_ms = pending.age_ms(now);
    sink.send(pending.agent, message);
}

template <packet_sink Sink>
bool packet_balancer::on_agents_exhausted(
    instant now, packet_flow const& flow, opening& pending, Sink& sink) {
    if (pending.least_loaded.is_set() && !pending.may_queue) {
        // No agent has a free slot: queue the opening at the least loaded one.
        pending.may_queue = true;
        pending.declines = 0;
        send_open(now, flow, pending, pending.least_loaded, sink);
        return true;
    }
    if (pending.has_unresponsive_agent) {
        // An agent that has not replied may still admit the opening, so a reset
        // could break an open flow. The caller's retransmissions are still
        // forwarded.
        pending.reply_due = instant::max();
        return true;
    }
    sink.log({.number = packet_event::opening_refused,
        .flow = flow,
        .why = pending.tried.empty() ? refusal::no_candidate
                                     : pending.last_refusal,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(pending.tried.size()),
        .priority = pending.priority});
    sink.reset_caller(flow, 0);
    return false;
}

template <packet_sink Sink>
void packet_balancer::on_packet(
    instant now, flow_packet const& packet, Sink& sink) {
    auto const flow = packet.from_caller();
    auto const it = flows_.find(flow);
    if (it != flows_.end()) {
        auto& entry = it->second;
        if (is_allowed(entry, flow)) {
            entry.last_packet_at = now;
            if (packet.is_acknowledging)
                entry.select_acknowledged(packet.acknowledged);
            return sink.send(
                entry.holder.agent, make_message(agent_packet_kind::forward,
                                        entry.holder.service, packet));
        }
        flows_.erase(it);
    }
    auto const service = view_.service_of(flow.service);
    if (service != 0)
        return search_for_holder(now, packet, service, sink);
    if (!is_ready() || packet.is_reset)
        return;
    sink.log({.number = packet_event::flow_reset,
        .flow = flow,
        .why = refusal::unknown_route,
        .version = view_.route_version()});
    sink.reset_caller(flow, packet.acknowledged);
}

template <packet_sink Sink>
void packet_balancer::handle(instant now, endpoint from,
    agent_packet const& message, flow_packet const* packet, Sink& sink) {
    last_event_at_ = now;
    apply_routes_to_searches(now);
    check_claim(now, from, message.route_version, sink);
    if (message.kind == agent_packet_kind::held) {
        on_held(now, from, message, sink);
    } else if (message.kind == agent_packet_kind::queued) {
        on_queued(now, from, message);
    } else if (message.kind == agent_packet_kind::declined) {
        on_declined(now, from, message, sink);
    } else if (message.kind == agent_packet_kind::not_held) {
        on_not_held(now, from, message, packet, sink);
    } else if (message.kind == agent_packet_kind::listed) {
        on_listed(now, from, message, sink);
    } else if (message.kind == agent_packet_kind::leaving) {
        loads_.mark_suspect(from, now + options_.leaving_suspect_time);
        sink.log({.number = packet_event::agent_leaving, .peer = from});
    }
}

template <packet_sink Sink>
void packet_balancer::check_claim(
    instant now, endpoint from, std::uint64_t version, Sink& sink) {
    if (!claims_.needs_look(now, version, view_.route_version()))
        return;
    sink.log({.number = packet_event::view_outdated,
        .peer = from,
        .version = version,
        .value = static_cast<std::int64_t>(claims_.fruitless_looks())});
    sink.catch_up(from);
}

template <packet_sink Sink>
void packet_balancer::on_held(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    loads_.load_reported(
        now, from, message, view_.priority_of(message.flow.service));
    bool const was_opening = openings_.erase(message.flow) > 0;
    if (was_opening)
        retries_.reply_received();
    else
        sink.log({.number = packet_event::flow_found,
            .flow = message.flow,
            .peer = from});
    cache_holder(now, message.flow,
        {.agent = from,
            .service = message.service,
            .handshake = message.handshake});
    if (flows_.size() > options_.max_flows) {
        sink.log({.number = packet_event::table_full,
            .value = static_cast<std::int64_t>(flows_.size())});
        sweep(now);
    }
    end_search(message.flow, {.agent = from, .service = message.service}, sink);
}

template <packet_sink Sink>
void packet_balancer::on_declined(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    loads_.load_reported(
        now, from, message, view_.priority_of(message.flow.service));
    if (message.why == refusal::failing &&
        loads_.failing_reported(now, from, options_.failing_time))
        sink.log({.number = packet_event::agent_failing, .peer = from});
    auto found = openings_.find(message.flow);
    if (found == openings_.end()) {
        if (!forget_ended_flow(now, from, message))
            return;
        found = openings_.find(message.flow);
    }
    auto& pending = found->second;
    pending.last_refusal = message.why;
    if (pending.is_queued && pending.agent == from)
        pending.leave_queue();
    if (message.why == refusal::overloaded || message.why == refusal::failing) {
        ++pending.declines;
        auto const load = loads_.urgent_per_slot(
            now, from, message.slots, view_.priority_of(message.flow.service));
        if (!pending.least_loaded.is_set() || load < pending.least_load) {
            pending.least_loaded = from;
            pending.least_load = load;
        }
    }
    if (pending.agent != from) // Another agent has been tried since.
        return;
    if (message.why == refusal::stale_view &&
        message.route_version > view_.route_version()) {
        // The agent has newer routes. The opening waits until this process has
        // read them too, instead of being refused because of an outdated view.
        // Nothing shows that such routes exist, so the wait is short.
        pending.awaits_view = true;
        pending.reply_due = now + options_.view_wait;
        return;
    }
    if (!place_opening(now, message.flow, pending, sink))
        openings_.erase(message.flow);
}

template <packet_sink Sink>
bool packet_balancer::on_reply_timeout(
    instant now, packet_flow const& flow, opening& pending, Sink& sink) {
    if (std::exchange(pending.awaits_view, false))
        return place_opening(now, flow, pending, sink);
    if (pending.is_queued)
        pending.leave_queue();
    pending.has_unresponsive_agent = true;
    pending.last_refusal = refusal::unanswered;
    bool const is_first_miss = !std::exchange(pending.awaits_retry, false);
    if (is_first_miss &&
        loads_.reply_missed(now, pending.agent, options_.suspect_time))
        sink.log(
            {.number = packet_event::agent_suspect, .peer = pending.agent});
    if (retries_.try_take())
        return place_opening(now, flow, pending, sink);
    // The retry budget is used up: too few agents reply, and further requests
    // would only add load.
    pending.awaits_retry = true;
    pending.reply_due = now + options_.retry_interval;
    return true;
}

template <packet_sink Sink>
void packet_balancer::tick(instant now, Sink& sink) {
    check_pause(now, sink);
    for (auto it = openings_.begin(); it != openings_.end();) {
        auto& [flow, entry] = *it;
        bool is_over = now - entry.first_sent_at >= options_.opening_age_limit;
        if (is_over) {
            sink.log({.number = packet_event::opening_abandoned,
                .flow = flow,
                .peer = entry.agent,
                .why = entry.current_refusal(),
                .value = static_cast<std::int64_t>(entry.tried.size()),
                .priority = entry.priority});
        } else if (now >= entry.reply_due) {
            is_over = !on_reply_timeout(now, flow, entry, sink);
        }
        it = is_over ? openings_.erase(it) : std::next(it);
    }
    apply_routes_to_searches(now);
    continue_searches(now, sink);
    check_reachability(now, sink);
    if (now >= next_sweep_at_) {
        next_sweep_at_ = now + std::chrono::seconds(1);
        view_.tick(now);
        sweep(now);
    }
}

// An isolated balancer still receives callers' packets, so it leaves the
// rotation. From then on no caller causes a request to an agent, and only
// checks can detect that agents are reachable again. They go to all members of
// the view in turn, since the agents asked so far may all have failed. A
// request for the list of no service is the shortest one that every agent
// replies to.
template <packet_sink Sink>
void packet_balancer::check_reachability(instant now, Sink& sink) {
    constexpr int checks_per_tick = 4;
    auto const& reachability = loads_.reachability();
    bool const is_isolated =
        reachability.none_reachable(now, options_.isolation_timeout);
    if (is_isolated != is_isolated_) {
        is_isolated_ = is_isolated;
        sink.log({.number = is_isolated ? packet_event::agents_unreachable
                                        : packet_event::agents_recovered,
            .value = reachability.unreplied_time(now) /
                     std::chrono::milliseconds(1)});
    }
    if (!reachability.needs_check(now, options_.reachability_check_timeout))
        return;
    std::string first;
    for (int n = 0; n != checks_per_tick; ++n) {
        auto const* member = view_.next_member(checked_member_);
        if (member == nullptr || checked_member_ == first)
            return; // All members have been checked.
        if (n == 0)
            first = checked_member_;
        loads_.request_sent(now, agent_of(*member));
        sink.send(
            agent_of(*member), {.kind = agent_packet_kind::list,
                                   .route_version = view_.route_version()});
    }
}

} // namespace radishspread

#endif
