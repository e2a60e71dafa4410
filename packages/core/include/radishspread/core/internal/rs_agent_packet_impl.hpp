#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_PACKET_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_PACKET_IMPL_HPP

#include <radishspread/core/internal/rs_agent_open_impl.hpp>
#include <radishspread/core/internal/rs_agent_request_impl.hpp>

namespace radishspread::agent_internal {

template <class Sink>
void log_invalid_packet(agent_call<Sink> call, forward const& message) {
    log(call, {.number = agent_event::invalid_packet,
                  .step = step::receive,
                  .peer = message.origin.sender,
                  .flow = message.packet.flow,
                  .request = message.packet.request,
                  .reason = reason::invalid_cookie});
}

/// Handles a repeated request of a flow that was handed over. The target agent
/// sent it back because the request was first received here.
template <class Sink>
void on_returned_request(agent_call<Sink> call, forward const& message) {
    auto const& packet = message.packet;
    auto const key = key_of(message);
    auto* const flow = call.state.flows.find_moved(key, *packet.cookie);
    if (flow != nullptr) {
        flow->reply_to = message.reply_to;
        return on_repeat(call, *flow, message);
    }
    // The answer was dropped with the moved flow's entry. Only the request is
    // refused: the flow itself continues at the target agent.
    send_reply(call, message.reply_to, message.caller,
        caller_reply{.kind = reply_kind::refused,
            .service = packet.service,
            .flow = packet.flow,
            .request = packet.request,
            .outcome = outcome::unknown,
            .reason = reason::answer_dropped,
            .trace = packet.trace});
}

/// Handles a packet whose cookie names another agent.
template <class Sink>
void on_packet_for_other_agent(agent_call<Sink> call, forward const& message) {
    bool const is_returned =
        message.passes > 0 && message.packet.kind == packet_kind::request;
    if (is_returned)
        on_returned_request(call, message);
    else
        log_invalid_packet(call, message);
}

/// Returns the flow that a packet's cookie names, or null if the packet was
/// dropped, handled otherwise, or replied to with a reset.
template <class Sink>
flow_entry* find_flow(agent_call<Sink> call, forward const& message) {
    auto& state = call.state;
    auto const& cookie = message.packet.cookie;
    auto const key = key_of(message);
    if (!cookie || !state.has_valid_tag(*cookie, key)) {
        log_invalid_packet(call, message);
        return nullptr;
    }
    // The address in the cookie may have belonged to an agent of another
    // service, or the balancer may have sent the packet to the wrong agent.
    auto why = reason::none;
    if (cookie->service != state.options.service ||
        key.service != state.options.service)
        why = reason::invalid_cookie;
    else if (cookie->agent != state.options.document.self) {
        on_packet_for_other_agent(call, message);
        return nullptr;
    } else if (cookie->incarnation != state.options.document.incarnation)
        why = reason::stale_incarnation;
    auto* const flow =
        why == reason::none ? state.flows.find(cookie->opening) : nullptr;
    if (flow != nullptr && flow->key == key)
        return flow;
    send_reset(
        call, message, why == reason::none ? reason::flow_not_held : why);
    return nullptr;
}

/// Handles a packet of a flow that was handed over to another agent.
template <class Sink>
void on_moved_packet(
    agent_call<Sink> call, flow_entry& flow, forward const& message) {
    auto const& packet = message.packet;
    bool const is_taken_request =
        packet.request != 0 &&
        position_of(flow.window, packet.request) == window_position::taken;
    if (is_taken_request && packet.kind == packet_kind::request)
        return on_repeat(call, flow, message);
    if (is_taken_request && packet.kind == packet_kind::cancel)
        return on_cancel(call, flow, packet);
    forward_moved(call, flow, message);
}

template <class Sink>
void on_flow_packet(
    agent_call<Sink> call, flow_entry& flow, forward const& message) {
    switch (message.packet.kind) {
    case packet_kind::open:
    case packet_kind::keepalive:
        return;
    case packet_kind::request:
        return on_request(call, flow, message);
    case packet_kind::cancel:
        return on_cancel(call, flow, message.packet);
    case packet_kind::close:
        return on_close(call, flow);
    }
}

/// Handles any packet except an opening.
template <class Sink>
void on_packet(agent_call<Sink> call, forward const& message) {
    auto& state = call.state;
    auto* const flow = find_flow(call, message);
    if (flow == nullptr)
        return;
    auto const held = state.view.held(internal::domains_name);
    bool const is_view_outdated = message.origin.domains_revision > held;
    // The balancer has a newer revision, in which the failure domain may be in
    // again. It is being pulled; until then the packet is dropped and the
    // caller retransmits.
    if (state.is_out() && is_view_outdated)
        return;
    if (state.is_out()) {
        send_reset(call, message, reason::domain_out);
        return drop_flow(call, flow->opening, false);
    }
    flow->reply_to = message.reply_to;
    flow->last_packet = call.now;
    if (flow->state == flow_state::moved)
        return on_moved_packet(call, *flow, message);
    state.flows.establish(*flow);
    record_cookie_use(call, *flow, message);
    if (flow->out.is_committed()) {
        flow->out.is_closing |= message.packet.kind == packet_kind::close;
        return;
    }
    on_flow_packet(call, *flow, message);
}

} // namespace radishspread::agent_internal

#endif
