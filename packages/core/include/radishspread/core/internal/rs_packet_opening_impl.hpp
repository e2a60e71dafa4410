#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_OPENING_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_OPENING_IMPL_HPP

#include <radishspread/core/rs_packet_agent.hpp>

#include <algorithm>

namespace radishspread {

template <packet_sink Sink>
void packet_agent::decline(instant, endpoint to, agent_packet const& message,
    refusal why, Sink& sink) {
    sink.log({.number = packet_event::opening_declined,
        .flow = message.flow,
        .peer = to,
        .why = why,
        .version = message.route_version,
        .value = static_cast<std::int64_t>(in_progress_.total()),
        .priority = view_.priority_of(message.flow.service)});
    auto reply = make_report(agent_packet_kind::declined, message.flow);
    reply.why = why;
    reply.packet = message.packet;
    sink.send(to, reply);
}

template <packet_sink Sink>
void packet_agent::on_open(instant now, endpoint from,
    agent_packet const& message, flow_packet const& packet, Sink& sink) {
    auto const known = flows_.find(message.flow);
    bool const is_copy = known != flows_.end() &&
                         known->second.state <= internal::held_state::open;
    expire_unused(now);
    if (is_copy) {
        auto& held = known->second;
        held.balancer = from;
        held.last_packet_at = now;
        // The balancer has sent the opening again, so the earlier reply may be
        // lost.
        if (held.state != internal::held_state::opening)
            send_held(from, message.flow, held, sink);
        return sink.send_backend(packet.bytes);
    }
    queue_.remove_request(message.flow); // Of an earlier flow from this port.
    if (queue_.contains(message.flow))
        return sink.send(
            from, make_report(agent_packet_kind::queued, message.flow));
    bool const is_full =
        known == flows_.end() && flows_.size() >= options_.max_flows;
    auto const why =
        is_full ? refusal::overloaded : check_admission(now, message);
    if (why == refusal::none)
        return admit_opening(
            now, from, message, packet.bytes, duration{0}, sink);
    if (why == refusal::overloaded && message.may_queue && !is_full)
        return enqueue(now, from, message, packet, sink);
    decline(now, from, message, why, sink);
}

template <packet_sink Sink>
void packet_agent::admit_opening(instant now, endpoint from,
    agent_packet const& message, std::span<std::byte const> bytes,
    duration queued_for, Sink& sink) {
    bool const is_known = flows_.contains(message.flow);
    auto& held = insert(now, message.flow);
    held.start_anew();
    held.has_predecessor = is_known;
    held.balancer = from;
    held.last_packet_at = now;
    held.opened_at = now;
    unused_.emplace_back(now, message.flow);
    set_state(held, internal::held_state::opening);
    set_outstanding(now, held, true);
    if (oldest_unreplied_at_ == instant{})
        oldest_unreplied_at_ = now;
    sink.log({.number = packet_event::opening_admitted,
        .flow = message.flow,
        .peer = from,
        .version = message.route_version,
        .value = static_cast<std::int64_t>(open_),
        .age_ms = message.age_ms,
        .priority = held.priority,
        .queued_for = queued_for});
    sink.send_backend(bytes);
}

template <packet_sink Sink>
void packet_agent::enqueue(instant now, endpoint from,
    agent_packet const& message, flow_packet const& packet, Sink& sink) {
    internal::queued_opening opening{.balancer = from,
        .message = message,
        .packet = {packet.bytes.begin(), packet.bytes.end()},
        .cost = cost_of(now, message)};
    opening.message.packet = {};
    auto const result = queue_.push(now, std::move(opening), slots());
    if (result.displaced)
        decline_queued(now, *result.displaced, sink);
    if (!result.is_queued)
        return decline(now, from, message, refusal::overloaded, sink);
    sink.log({.number = result.is_over_share ? packet_event::caller_over_share
                                             : packet_event::opening_queued,
        .flow = message.flow,
        .peer = from,
        .version = message.route_version,
        .value = static_cast<std::int64_t>(queue_.size()),
        .age_ms = message.age_ms,
        .priority = view_.priority_of(message.flow.service)});
    sink.send(from, make_report(agent_packet_kind::queued, message.flow));
}

template <packet_sink Sink>
void packet_agent::enqueue_request(instant now, endpoint from,
    agent_packet const& message, flow_packet const& packet, Sink& sink) {
    internal::queued_opening queued{.balancer = from,
        .message = message,
        .packet = {packet.bytes.begin(), packet.bytes.end()},
        .cost = cost_of(now, message),
        .request = packet};
    queued.message.packet = {};
    queued.message.may_queue = true;
    queued.request->bytes = {};
    auto const result = queue_.push(now, std::move(queued), slots());
    if (result.displaced)
        decline_queued(now, *result.displaced, sink);
    if (!result.is_queued)
        return log_dropped_request(message.flow, duration{0}, sink);
    sink.log({.number = packet_event::request_queued,
        .flow = message.flow,
        .peer = from,
        .value = static_cast<std::int64_t>(queue_.size()),
        .priority = view_.priority_of(message.flow.service)});
}

template <packet_sink Sink>
void packet_agent::admit_request(
    instant now, internal::queued_opening const& queued, Sink& sink) {
    auto const found = flows_.find(queued.message.flow);
    if (found == flows_.end() ||
        found->second.state != internal::held_state::open)
        return;
    auto packet = *queued.request;
    packet.bytes = queued.packet;
    forward_packet(now, found->second, packet, sink);
}

template <packet_sink Sink>
void packet_agent::log_dropped_request(
    packet_flow const& flow, duration queued_for, Sink& sink) {
    sink.log({.number = packet_event::request_dropped,
        .flow = flow,
        .why = refusal::overloaded,
        .priority = view_.priority_of(flow.service),
        .queued_for = queued_for});
}

template <packet_sink Sink>
void packet_agent::decline_queued(
    instant now, internal::queued_opening const& opening, Sink& sink) {
    if (opening.request)
        return log_dropped_request(
            opening.message.flow, now - opening.queued_at, sink);
    auto message = opening.message;
    message.packet = opening.packet;
    decline(now, opening.balancer, message, refusal::overloaded, sink);
}

template <packet_sink Sink>
void packet_agent::shed_queue(instant now, Sink& sink) {
    while (auto const expired = queue_.pop_expired(now)) {
        if (expired->request) {
            log_dropped_request(
                expired->message.flow, now - expired->queued_at, sink);
            continue;
        }
        sink.log({.number = packet_event::opening_dropped,
            .flow = expired->message.flow,
            .peer = expired->balancer,
            .why = refusal::overloaded,
            .age_ms = (now - expired->cost.first_sent_at) /
                      std::chrono::milliseconds(1),
            .priority = expired->cost.priority,
            .queued_for = now - expired->queued_at});
    }
    for (auto const& it : queue_.take_hopeless(now, slots()))
        decline_queued(now, it, sink);
}

// Admission is checked again, since routes, drains and failure domains may have
// changed while the opening was queued.
template <packet_sink Sink>
void packet_agent::serve_queue(instant now, Sink& sink) {
    for (auto const* first = queue_.next(now);
         first != nullptr && has_room(first->message);
         first = queue_.next(now)) {
        auto next = queue_.pop(now);
        if (next->request) {
            admit_request(now, *next, sink);
            continue;
        }
        auto& message = next->message;
        message.age_ms = static_cast<std::uint16_t>(
            (now - next->cost.first_sent_at) / std::chrono::milliseconds(1));
        message.packet = next->packet;
        auto const why = check_admission(now, message);
        if (why == refusal::none)
            admit_opening(now, next->balancer, message, next->packet,
                now - next->queued_at, sink);
        else
            decline(now, next->balancer, message, why, sink);
    }
}

} // namespace radishspread

#endif
