#ifndef RADISHSPREAD_CORE_INTERNAL_RS_BALANCER_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_BALANCER_IMPL_HPP

#include <radishspread/core/rs_balancer.hpp>

namespace radishspread {

template <balancer_sink Sink>
void balancer::report(instant now, log_event const& event, Sink& sink) {
    auto const index = event.number - balancer_events.front().number;
    auto const n = limiters_[static_cast<std::size_t>(index)].count(now);
    if (n == 0)
        return;
    auto counted = event;
    counted.value = n;
    sink.log(counted);
}

template <balancer_sink Sink> void balancer::start(instant now, Sink& sink) {
    last_activity_at_ = now;
    document_.start(now, sink);
}

template <balancer_sink Sink>
bool balancer::check_pause(instant now, Sink& sink) {
    if (!document_.check_pause(now, sink))
        return false;
    // Replies may be among the discarded packets, so a missing reply does not
    // count against the agent.
    pending_.clear();
    return true;
}

template <balancer_sink Sink>
void balancer::handle(
    instant now, caller_packet_event const& event, Sink& sink) {
    if (check_pause(now, sink))
        return;
    auto const& packet = event.packet;
    if (packet.service != event.port_service) {
        report(now,
            {.number = balancer_event::wrong_port,
                .step = step::receive,
                .peer = event.caller,
                .service = event.port_service,
                .flow = packet.flow},
            sink);
        return;
    }
    if (packet.kind == packet_kind::open)
        open(now, event, sink);
    else
        route(now, event, sink);
}

template <balancer_sink Sink>
void balancer::route(
    instant now, caller_packet_event const& event, Sink& sink) {
    auto const& packet = event.packet;
    auto const drop = [&](std::uint16_t number) {
        report(now,
            {.number = number,
                .step = step::route,
                .peer = event.caller,
                .service = packet.service,
                .flow = packet.flow,
                .request = packet.request},
            sink);
    };
    if (!packet.cookie) {
        drop(balancer_event::missing_cookie);
        return;
    }
    auto const& cookie = *packet.cookie;
    flow_key const key{
        .service = packet.service, .caller = event.caller, .flow = packet.flow};
    if (is_invalid(cookie, key)) {
        drop(balancer_event::invalid_cookie);
        return;
    }
    if (!document_.has_domains()) {
        drop(balancer_event::domains_unknown);
        return;
    }
    // The failure domain may have been taken out during a pause of this
    // process, or in a revision newer than the one that a stale replica of the
    // configuration service returned to a newly started process.
    if (document_.is_proving(now)) {
        drop(balancer_event::unproven_view);
        return;
    }
    if (document_.is_out(cookie.domain)) {
        drop(balancer_event::domain_out);
        // A cookie made with a newer revision of `domains` than this balancer
        // holds: the failure domain may be back in use, so pull that revision
        // instead of resetting the flow.
        auto const held = document_.held(internal::domains_name);
        if (cookie.domains_revision > held)
            document_.pull(now, internal::domains_name, cookie.domains_revision,
                cookie.agent, sink);
        else
            reset(now, event, sink);
        return;
    }
    send_forward(now, cookie.agent, {}, event.caller, packet, sink);
}

template <balancer_sink Sink>
void balancer::reset(
    instant now, caller_packet_event const& event, Sink& sink) {
    auto const& packet = event.packet;
    last_activity_at_ = now;
    // The outcome is unknown because the request may have run before the
    // failure domain was taken out.
    sink.send_reply(packet.service, event.caller,
        caller_reply{.kind = reply_kind::reset,
            .service = packet.service,
            .flow = packet.flow,
            .cookie = packet.cookie,
            .request = packet.request,
            .outcome = packet.request == 0 ? outcome::none : outcome::unknown,
            .reason = reason::domain_out,
            .trace = packet.trace});
}

template <balancer_sink Sink>
void balancer::send_forward(instant now, endpoint to,
    candidate_list const& list, endpoint caller, caller_packet const& packet,
    Sink& sink) {
    last_activity_at_ = now;
    sink.send_forward(
        to, forward{.origin = document_.make_stamp(packet.service),
                .caller = caller,
                .reply_to = options_.document.self,
                .candidates = list,
                .packet = packet});
}

template <balancer_sink Sink>
void balancer::open(instant now, caller_packet_event const& event, Sink& sink) {
    auto const& packet = event.packet;
    if (!document_.is_proven()) {
        report(now,
            {.number = balancer_event::unproven_view,
                .step = step::open,
                .peer = event.caller,
                .service = packet.service,
                .flow = packet.flow,
                .reason = reason::unproven_view},
            sink);
        return;
    }
    auto const table = candidates_.find(packet.service);
    if (table == candidates_.end()) {
        refuse_opening(now, event, reason::unknown_service,
            balancer_event::unknown_service, sink);
        return;
    }
    flow_key const key{
        .service = packet.service, .caller = event.caller, .flow = packet.flow};
    auto const list = table->second.select(
        hash_value(key), packet.attempt, suspicion_.flags());
    if (list.empty()) {
        refuse_opening(now, event, reason::no_backend_server,
            balancer_event::no_candidate, sink);
        return;
    }
    track(now, key, list, packet, sink);
    send_forward(now, list.front().agent, list, event.caller, packet, sink);
}

template <balancer_sink Sink>
void balancer::refuse_opening(instant now, caller_packet_event const& event,
    radishspread::reason why, std::uint16_t number, Sink& sink) {
    auto const& packet = event.packet;
    report(now,
        {.number = number,
            .step = step::open,
            .peer = event.caller,
            .service = packet.service,
            .flow = packet.flow,
            .reason = why},
        sink);
    sink.send_reply(packet.service, event.caller,
        caller_reply{.kind = reply_kind::refused,
            .service = packet.service,
            .flow = packet.flow,
            .outcome = outcome::not_run,
            .reason = why,
            .trace = packet.trace});
}

template <balancer_sink Sink>
void balancer::track(instant now, flow_key const& key,
    candidate_list const& list, caller_packet const& packet, Sink& sink) {
    if (pending_.is_full()) {
        report(now,
            {.number = balancer_event::pending_full, .step = step::open}, sink);
        return;
    }
    auto* const opening = pending_.add(key, now);
    if (opening == nullptr)
        return; // Repeated or duplicated opening: the first one is tracked.
    opening->attempt = packet.attempt;
    opening->trace = packet.trace;
    opening->candidates = list;
}

template <balancer_sink Sink>
void balancer::hedge(
    instant now, internal::pending_opening& opening, Sink& sink) {
    count_missed_reply(now, opening.candidates.front().agent, sink);
    candidate_list rest;
    for (std::size_t i = 1; i < opening.candidates.size(); ++i)
        if (!document_.is_out(opening.candidates[i].domain))
            rest.push_back(opening.candidates[i]);
    if (rest.empty() || !document_.is_proven())
        return;
    caller_packet const packet{.kind = packet_kind::open,
        .service = opening.key.service,
        .flow = opening.key.flow,
        .attempt = opening.attempt,
        .trace = opening.trace};
    send_forward(
        now, rest.front().agent, rest, opening.key.caller, packet, sink);
}

template <balancer_sink Sink>
void balancer::count_missed_reply(instant now, endpoint agent, Sink& sink) {
    if (suspicion_.reply_missed(agent, now))
        report(now,
            {.number = balancer_event::agent_suspect,
                .step = step::open,
                .peer = agent},
            sink);
}

template <balancer_sink Sink>
void balancer::handle(instant now, deliver const& message, Sink& sink) {
    if (check_pause(now, sink))
        return;
    auto const& reply = message.reply;
    document_.observe(now, reply.service, message.origin, sink);
    suspicion_.reply_received(message.origin.sender);
    if (!is_usable(message)) {
        report(now,
            {.number = balancer_event::reply_dropped,
                .step = step::answer,
                .peer = message.origin.sender,
                .service = reply.service,
                .flow = reply.flow,
                .request = reply.request},
            sink);
        return;
    }
    bool const ends_opening =
        reply.kind == reply_kind::opened || reply.kind == reply_kind::refused;
    if (ends_opening && reply.request == 0)
        pending_.erase({.service = reply.service,
            .caller = message.caller,
            .flow = reply.flow});
    last_activity_at_ = now;
    sink.send_reply(reply.service, message.caller, reply);
}

template <balancer_sink Sink>
void balancer::handle(instant now, stop_event const& event, Sink& sink) {
    if (stop_since_)
        return;
    stop_since_ = now;
    stop_limit_ = event.deadline;
    sink.log(log_event{.number = balancer_event::stopping,
        .step = step::stop,
        .value = event.deadline / std::chrono::milliseconds(1)});
}

template <class Event, balancer_sink Sink>
requires requires(document& doc, instant now, Event const& event, Sink& sink) {
    doc.handle(now, event, sink);
}
void balancer::handle(instant now, Event const& event, Sink& sink) {
    if (check_pause(now, sink))
        return;
    document_.handle(now, event, sink);
    // Until the view is proven the tables are not used and many sections arrive
    // in succession, so tick() rebuilds the tables once instead.
    if (document_.is_proven())
        refresh();
}

template <balancer_sink Sink> void balancer::tick(instant now, Sink& sink) {
    check_pause(now, sink);
    document_.tick(now, sink);
    refresh();
    suspicion_.expire(now);
    auto const limit = now - options_.open_timeout;
    while (auto* opening = pending_.oldest(limit)) {
        hedge(now, *opening, sink);
        pending_.erase(opening->key);
    }
}

} // namespace radishspread

#endif
