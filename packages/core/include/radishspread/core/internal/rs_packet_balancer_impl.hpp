#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_BALANCER_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_BALANCER_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishspread {

template <packet_sink Sink> void packet_balancer::start(instant now, Sink&) {
    last_event_ = now;
    next_sweep_ = now + std::chrono::seconds(1);
}

template <packet_sink Sink>
bool packet_balancer::check_pause(instant now, Sink& sink) {
    auto const gap = now - last_event_;
    last_event_ = now;
    if (gap <= options_.pause_limit)
        return false;
    sink.log({.number = packet_event::paused,
        .value = gap / std::chrono::milliseconds(1)});
    // Openings of before the pause have been given up by their callers, and
    // the routes may have changed meanwhile.
    openings_.clear();
    searches_.clear();
    loads_.forget_silence();
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
            entry.awaits_view && !begin(now, it->first, entry, sink);
        it = is_over ? openings_.erase(it) : std::next(it);
    }
    confirm_denials(now, read_started, sink);
    continue_searches(now, sink);
}

template <packet_sink Sink>
void packet_balancer::handle_caller(
    instant now, flow_packet const& packet, Sink& sink) {
    last_event_ = now;
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
        // A copy; the agent knows whether its backend server has replied.
        it->second.last_packet = now;
        auto const service = view_.service_of(flow.service);
        return sink.send(it->second.agent,
            make_open(now, flow, service, it->second.agent, packet.bytes));
    }
    auto const [entry, is_new] = openings_.try_emplace(flow);
    if (!is_new) {
        // A copy. While agents are asked it is not needed; otherwise it is the
        // caller's own repetition.
        auto& it = entry->second;
        if (!it.awaits_view && it.answer_due == instant::max())
            repeat_open(now, flow, it, sink);
        return;
    }
    if (openings_.size() > options_.max_openings) {
        openings_.erase(entry);
        sink.log({.number = packet_event::opening_refused,
            .flow = flow,
            .why = refusal::overloaded,
            .version = view_.route_version()});
        return sink.reset_caller(flow, 0);
    }
    auto& it = entry->second;
    it.started = now;
    it.begun = now - packet.opening_age;
    it.packet.assign(packet.bytes.begin(), packet.bytes.end());
    it.awaits_view = !is_ready();
    if (it.awaits_view)
        it.answer_due = instant::max();
    else if (!begin(now, flow, it, sink))
        openings_.erase(flow);
}

template <packet_sink Sink>
bool packet_balancer::begin(
    instant now, packet_flow const& flow, opening& it, Sink& sink) {
    it.awaits_view = false;
    it.start_over();
    it.service = view_.service_of(flow.service);
    if (it.service != 0)
        return place(now, flow, it, sink);
    sink.log({.number = packet_event::opening_refused,
        .flow = flow,
        .why = refusal::unknown_route,
        .version = view_.route_version()});
    sink.reset_caller(flow, 0);
    return false;
}

template <packet_sink Sink>
bool packet_balancer::place(
    instant now, packet_flow const& flow, opening& it, Sink& sink) {
    auto const list = candidates(now, it);
    auto const* chosen =
        internal::choose_agent({list.data(), list.size()}, random_.next());
    bool const is_busy =
        it.least_loaded.is_set() && it.declines >= options_.max_declines;
    if (chosen == nullptr || (is_busy && !it.may_queue))
        return give_up(now, flow, it, sink);
    send_open(now, flow, it, chosen->agent, sink);
    return true;
}

template <packet_sink Sink>
void packet_balancer::send_open(instant now, packet_flow const& flow,
    opening& it, endpoint agent, Sink& sink) {
    it.tried.push_back(agent);
    it.agent = agent;
    it.answer_due = now + options_.answer_limit;
    it.is_queued = false;
    loads_.sent(now, agent);
    auto message = make_open(
        now, flow, it.service, agent, {it.packet.data(), it.packet.size()});
    message.may_queue = it.may_queue;
    message.age_ms = it.age_ms(now);
    sink.log({.number = it.tried.size() == 1 ? packet_event::opening_sent
                                             : packet_event::opening_reassigned,
        .flow = flow,
        .peer = agent,
        .why = it.last_refusal,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(it.tried.size())});
    sink.send(agent, message);
}

template <packet_sink Sink>
void packet_balancer::repeat_open(
    instant now, packet_flow const& flow, opening& it, Sink& sink) {
    it.answer_due = now + options_.answer_limit;
    auto message = make_open(
        now, flow, it.service, it.agent, {it.packet.data(), it.packet.size()});
    message.may_queue = it.may_queue;
    message.age_ms = it.age_ms(now);
    sink.send(it.agent, message);
}

template <packet_sink Sink>
bool packet_balancer::give_up(
    instant now, packet_flow const& flow, opening& it, Sink& sink) {
    if (it.least_loaded.is_set() && !it.may_queue) {
        // Every agent is full: wait where the wait is shortest.
        it.may_queue = true;
        send_open(now, flow, it, it.least_loaded, sink);
        return true;
    }
    if (it.has_silent_agent) {
        // One of those asked may still take it, so a reset could hit a flow
        // that opens; the caller's copies go on being answered.
        it.answer_due = instant::max();
        return true;
    }
    sink.log({.number = packet_event::opening_refused,
        .flow = flow,
        .why = it.tried.empty() ? refusal::no_candidate : it.last_refusal,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(it.tried.size())});
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
            entry.last_packet = now;
            if (packet.is_acknowledging)
                entry.settle(packet.acknowledged);
            auto const service = view_.service_of(flow.service);
            return sink.send(entry.agent,
                make_message(agent_packet_kind::forward, service, packet));
        }
        flows_.erase(it);
    }
    auto const service = view_.service_of(flow.service);
    if (service != 0)
        return search(now, packet, service, sink);
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
    last_event_ = now;
    if (message.route_version > view_.route_version()) {
        sink.log({.number = packet_event::view_outdated,
            .peer = from,
            .version = message.route_version});
        sink.catch_up(from);
    }
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
        loads_.pass_over(from, now + options_.leaving_time);
        sink.log({.number = packet_event::agent_leaving, .peer = from});
    }
}

template <packet_sink Sink>
void packet_balancer::on_held(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    loads_.report(now, from, message);
    bool const was_opening = openings_.erase(message.flow) > 0;
    if (was_opening)
        retries_.answered();
    else
        sink.log({.number = packet_event::flow_found,
            .flow = message.flow,
            .peer = from});
    note_agent(now, message.flow, from, message.handshake);
    if (flows_.size() > options_.max_flows) {
        sink.log({.number = packet_event::table_full,
            .value = static_cast<std::int64_t>(flows_.size())});
        sweep(now);
    }
    end_search(message.flow, from, sink);
}

template <packet_sink Sink>
void packet_balancer::on_declined(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    loads_.report(now, from, message);
    auto const found = openings_.find(message.flow);
    if (found == openings_.end())
        return;
    auto& it = found->second;
    it.last_refusal = message.why;
    if (it.is_queued && it.agent == from)
        it.leave_queue();
    if (message.why == refusal::overloaded) {
        ++it.declines;
        auto const share = loads_.share(now, from, message.slots);
        if (!it.least_loaded.is_set() || share < it.least_share) {
            it.least_loaded = from;
            it.least_share = share;
        }
    }
    if (it.agent != from) // Another one was asked meanwhile.
        return;
    if (message.why == refusal::stale_view) {
        // Whatever the newer routes say of this opening, it is not refused for
        // what this process has not read yet.
        it.awaits_view = true;
        it.answer_due = instant::max();
        return;
    }
    if (!place(now, message.flow, it, sink))
        openings_.erase(message.flow);
}

template <packet_sink Sink>
bool packet_balancer::on_silence(
    instant now, packet_flow const& flow, opening& it, Sink& sink) {
    if (it.is_queued)
        it.leave_queue();
    it.has_silent_agent = true;
    it.last_refusal = refusal::unanswered;
    bool const is_new_silence = !std::exchange(it.awaits_repeat, false);
    if (is_new_silence && loads_.missed(now, it.agent, options_.suspect_time))
        sink.log({.number = packet_event::agent_suspect, .peer = it.agent});
    if (retries_.take())
        return place(now, flow, it, sink);
    // Too few answers altogether: more calls would not help before there are.
    it.awaits_repeat = true;
    it.answer_due = now + options_.repeat_pause;
    return true;
}

template <packet_sink Sink>
void packet_balancer::tick(instant now, Sink& sink) {
    check_pause(now, sink);
    for (auto it = openings_.begin(); it != openings_.end();) {
        auto& [flow, entry] = *it;
        bool is_over = now - entry.begun >= options_.opening_limit;
        if (is_over) {
            sink.log({.number = packet_event::opening_abandoned,
                .flow = flow,
                .peer = entry.agent,
                .why = entry.why_not_taken(),
                .value = static_cast<std::int64_t>(entry.tried.size())});
        } else if (now >= entry.answer_due) {
            is_over = !on_silence(now, flow, entry, sink);
        }
        it = is_over ? openings_.erase(it) : std::next(it);
    }
    continue_searches(now, sink);
    check_contact(now, sink);
    if (now >= next_sweep_) {
        next_sweep_ = now + std::chrono::seconds(1);
        view_.tick(now);
        sweep(now);
    }
}

// A balancer that is cut off still gets what callers send. It leaves the
// rotation, and then only its own questions can show that it is back. A list of
// no service is the shortest question that every agent answers.
template <packet_sink Sink>
void packet_balancer::check_contact(instant now, Sink& sink) {
    constexpr int agents_each_tick = 4;
    auto const& contact = loads_.contact();
    bool const is_lost = contact.is_lost(now, options_.contact_limit);
    if (is_lost != has_lost_agents_) {
        has_lost_agents_ = is_lost;
        sink.log({.number = is_lost ? packet_event::agents_unreachable
                                    : packet_event::agents_recovered,
            .value = contact.silence(now) / std::chrono::milliseconds(1)});
    }
    if (!contact.is_doubtful(now, options_.contact_doubt))
        return;
    for (int n = 0; n != agents_each_tick; ++n) {
        auto const agent = loads_.next_agent();
        loads_.asked(now, agent);
        sink.send(agent, {.kind = agent_packet_kind::list,
                             .route_version = view_.route_version()});
    }
}

} // namespace radishspread

#endif
