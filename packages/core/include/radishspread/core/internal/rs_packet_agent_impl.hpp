#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_AGENT_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_AGENT_IMPL_HPP

#include <radishspread/core/rs_packet_agent.hpp>

#include <algorithm>
#include <utility>

namespace radishspread {

template <packet_sink Sink> void packet_agent::start(instant now, Sink&) {
    started_at_ = now;
    last_event_at_ = now;
}

template <packet_sink Sink>
bool packet_agent::check_pause(instant now, Sink& sink) {
    auto const gap = now - last_event_at_;
    last_event_at_ = now;
    if (gap <= options_.pause_limit)
        return false;
    sink.log({.number = packet_event::paused,
        .value = gap / std::chrono::milliseconds(1)});
    oldest_unreplied_at_ = {};
    oldest_probe_at_ = {};
    awaiting_response_.clear(); // Responses may have come in the pause.
    sink.refresh_view();
    return true;
}

template <packet_sink Sink>
void packet_agent::handle(instant now, endpoint from,
    agent_packet const& message, flow_packet const* packet, Sink& sink) {
    last_event_at_ = now;
    record_balancer(now, from);
    check_claim(now, from, message.route_version, sink);
    if (packet == nullptr)
        on_locate(now, from, message, sink);
    else if (message.kind == agent_packet_kind::open)
        on_open(now, from, message, *packet, sink);
    else if (message.service != options_.service)
        send_not_held(from, message, message.kind == agent_packet_kind::locate,
            message.packet, sink);
    else
        on_packet(now, from, message, *packet, sink);
}

// A version in a message is only a claim, which changes nothing by itself: one
// that is wrong would never be refuted.
template <packet_sink Sink>
void packet_agent::check_claim(
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
void packet_agent::on_locate(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    using internal::held_state;
    if (message.kind == agent_packet_kind::list)
        return send_list(now, from, message, sink);
    if (message.kind != agent_packet_kind::locate)
        return;
    auto const found = flows_.find(message.flow);
    bool const is_known = found != flows_.end();
    auto const state = is_known ? found->second.state : held_state::absent;
    bool const is_other_opening =
        state == held_state::replied &&
        !found->second.matches(true, message.handshake);
    bool const is_held_here =
        message.service == options_.service && !is_other_opening &&
        (state == held_state::open || state == held_state::replied ||
            (state == held_state::ended && message.must_reply));
    if (is_held_here) {
        found->second.balancer = from;
        found->second.notified_balancer = from;
        return send_held(from, message.flow, found->second, sink);
    }
    // Most searches find the holder, so other agents normally send no reply;
    // this saves most of the messages.
    if (!message.must_reply)
        return;
    bool const is_rejected = message.service != options_.service ||
                             is_other_opening ||
                             (is_known && state == held_state::absent) ||
                             ((!is_known || state == held_state::probed) &&
                                 is_table_conclusive(now));
    sink.send(from, {.kind = agent_packet_kind::not_held,
                        .why = refusal::not_held,
                        .is_locate_reply = true,
                        .is_uncertain = !is_rejected,
                        .service = message.service,
                        .route_version = view_.route_version(),
                        .flow = message.flow});
}

template <packet_sink Sink>
void packet_agent::send_list(
    instant now, endpoint to, agent_packet const& query, Sink& sink) {
    bool const is_other = query.service != options_.service;
    agent_packet reply{.kind = agent_packet_kind::listed,
        .is_uncertain = !is_other && !is_table_conclusive(now),
        .is_of_reassigned = query.is_of_reassigned,
        .service = query.service,
        .route_version = view_.route_version(),
        .handshake = query.handshake};
    auto const flows =
        is_other ? std::vector<std::uint64_t>{} : listable_flows(query);
    if (flows.size() > max_listed_flows) {
        reply.why = refusal::overloaded;
        return sink.send(to, reply);
    }
    auto const bytes = encode_flow_list(flows);
    reply.packet = bytes;
    sink.send(to, reply);
}

template <packet_sink Sink>
void packet_agent::send_held(endpoint to, packet_flow const& flow,
    internal::held_flow const& it, Sink& sink) {
    auto reply = make_report(agent_packet_kind::held, flow);
    reply.handshake = it.handshake;
    sink.send(to, reply);
}

template <packet_sink Sink>
void packet_agent::send_not_held(endpoint to, agent_packet const& query,
    bool is_locate_reply, std::span<std::byte const> bytes, Sink& sink) {
    // A searching balancer has retained the packet itself.
    if (is_locate_reply)
        bytes = {};
    sink.send(to, {.kind = agent_packet_kind::not_held,
                      .why = refusal::not_held,
                      .is_locate_reply = is_locate_reply,
                      .service = query.service,
                      .route_version = view_.route_version(),
                      .flow = query.flow,
                      .packet = bytes});
}

template <packet_sink Sink>
void packet_agent::on_packet(instant now, endpoint from,
    agent_packet const& message, flow_packet const& packet, Sink& sink) {
    using internal::held_state;
    bool const is_locate = message.kind == agent_packet_kind::locate;
    auto const found = flows_.find(message.flow);
    if (found != flows_.end()) {
        auto& it = found->second;
        bool const is_other =
            it.state == held_state::replied &&
            !it.matches(packet.is_acknowledging, packet.acknowledged);
        if (it.state == held_state::absent || is_other) {
            return send_not_held(
                from, message, is_locate, message.packet, sink);
        }
        if (it.expects_only_reply())
            return sink.send_backend(packet.bytes);
        it.balancer = from;
        // The result of a running probe is reported when the backend server
        // has responded.
        if (is_locate && it.state != held_state::probed) {
            it.notified_balancer = from;
            send_held(from, message.flow, it, sink);
        }
        if (packet.payload_size > 0 && queue_.contains(message.flow))
            return; // The caller sends again what follows the queued packet.
        if (must_wait(it, packet))
            return enqueue_request(now, from, message, packet, sink);
        return forward_packet(now, it, packet, sink);
    }
    if (is_table_complete_)
        return send_not_held(from, message, is_locate, message.packet, sink);
    if (flows_.size() >= options_.max_flows)
        return sink.send_backend(packet.bytes);
    // Unknown flow: opened before this process started, or at another backend
    // server. Probe the backend server: it returns packets of flows that it
    // does not hold.
    auto& it = insert(now, message.flow);
    it.balancer = from;
    set_state(it, held_state::probed);
    it.record_caller_bytes(packet.sequence + packet.payload_size);
    // A packet without payload may get no response, so it starts no probe
    // timeout.
    if (packet.payload_size > 0 && oldest_probe_at_ == instant{})
        oldest_probe_at_ = now;
    sink.log({.number = packet_event::flow_probed,
        .flow = message.flow,
        .peer = from});
    sink.send_backend(packet.bytes);
}

template <packet_sink Sink>
void packet_agent::forward_packet(instant now, internal::held_flow& held,
    flow_packet const& packet, Sink& sink) {
    if (packet.is_reset)
        queue_.remove_request(packet.from_caller());
    record_caller_packet(now, held, packet);
    sink.send_backend(packet.bytes);
}

template <packet_sink Sink>
void packet_agent::on_returned(
    instant now, flow_packet const& packet, Sink& sink) {
    using internal::held_state;
    auto const flow = packet.from_caller();
    auto& it = insert(now, flow);
    auto const was = it.state;
    bool const was_new = it.balancer == endpoint{};
    set_outstanding(now, it, false);
    set_state(it, held_state::absent);
    if (was_new)
        return; // No balancer to notify; the caller retransmits the packet.
    if (packet.is_opening) {
        sink.log({.number = packet_event::opening_returned,
            .flow = flow,
            .peer = it.balancer});
        agent_packet const message{.route_version = view_.route_version(),
            .flow = flow,
            .packet = packet.bytes};
        return decline(
            now, it.balancer, message, refusal::backend_refused, sink);
    }
    bool const was_held = was == held_state::open;
    sink.log({.number = was_held ? packet_event::flow_lost
                                 : packet_event::flow_not_held,
        .flow = flow,
        .peer = it.balancer});
    if (was_held)
        return sink.reset_caller(flow, packet.acknowledged);
    if (was != held_state::absent)
        send_not_held(it.balancer, {.service = options_.service, .flow = flow},
            true, {}, sink);
}

template <packet_sink Sink>
void packet_agent::handle_backend(
    instant now, flow_packet const& packet, Sink& sink) {
    last_event_at_ = now;
    oldest_unreplied_at_ = {};
    oldest_probe_at_ = {};
    if (is_unresponsive_) {
        is_unresponsive_ = false;
        sink.log({.number = packet_event::backend_unresponsive, .value = 0});
    }
    if (packet.is_returned)
        on_returned(now, packet, sink);
    else
        on_backend_packet(now, packet, sink);
    serve_queue(now, sink);
}

template <packet_sink Sink>
void packet_agent::on_backend_packet(
    instant now, flow_packet const& packet, Sink& sink) {
    using internal::held_state;
    auto const flow = packet.from_backend();
    auto& it = insert(now, flow);
    if (it.expects_only_reply() && !packet.is_opening_reply)
        return sink.send_caller(flow, packet.bytes);
    if (packet.is_opening_reply) {
        it.handshake = packet.sequence;
        if (it.state != held_state::open)
            set_state(it, held_state::replied);
    } else if (it.state != held_state::open && it.state != held_state::ended) {
        if (it.state != held_state::replied)
            sink.log({.number = packet_event::flow_learned, .flow = flow});
        set_state(it, held_state::open);
    }
    record_backend_packet(now, it, packet);
    if (it.balancer.is_set() && it.notified_balancer != it.balancer) {
        it.notified_balancer = it.balancer;
        send_held(it.balancer, flow, it, sink);
    }
    sink.send_caller(flow, packet.bytes);
}

template <packet_sink Sink>
void packet_agent::view_changed(instant now, Sink& sink) {
    auto const* self = find_announced();
    apply_announcement(now, self);
    int state = 0;
    if (self != nullptr)
        state = (self->is_draining || self->is_removed ? 1 : 0) +
                (self->cold_until > now ? 2 : 0);
    if (state == reported_state_)
        return;
    reported_state_ = state;
    sink.log({.number = packet_event::backend_state, .value = state});
}

template <packet_sink Sink> void packet_agent::tick(instant now, Sink& sink) {
    check_pause(now, sink);
    view_.tick(now);
    expire_unused(now);
    expire_responses(now);
    report_health(now, sink);
    shed_queue(now, sink);
    serve_queue(now, sink);
    if (!is_unresponsive_ && oldest_unreplied_at_ != instant{} &&
        now - oldest_unreplied_at_ >= options_.opening_timeout) {
        is_unresponsive_ = true;
        next_trial_at_ = now;
        sink.log({.number = packet_event::backend_unresponsive, .value = 1});
    }
    if (now < next_sweep_at_)
        return;
    next_sweep_at_ = now + std::chrono::seconds(1);
    sweep(now);
}

template <packet_sink Sink>
void packet_agent::report_health(instant now, Sink& sink) {
    bool const is_failing = health_.is_failing(now);
    if (std::exchange(was_failing_, is_failing) != is_failing)
        sink.log({.number = packet_event::backend_failing,
            .value = is_failing ? 1 : 0});
}

template <packet_sink Sink> void packet_agent::stop(instant now, Sink& sink) {
    while (auto it = queue_.pop(now)) {
        if (it->request) {
            admit_request(now, *it, sink);
            continue;
        }
        it->message.packet = it->packet;
        decline(now, it->balancer, it->message, refusal::draining, sink);
    }
    for (auto const& [to, last_received_at] : balancers_)
        if (now - last_received_at < options_.balancer_age_limit)
            sink.send(to, {.kind = agent_packet_kind::leaving,
                              .service = options_.service,
                              .route_version = view_.route_version()});
}

} // namespace radishspread

#endif
