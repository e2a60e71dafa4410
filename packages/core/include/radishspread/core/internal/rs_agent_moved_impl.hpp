#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_MOVED_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_MOVED_IMPL_HPP

#include <radishspread/core/internal/rs_agent_reply_impl.hpp>

namespace radishspread::agent_internal {

/// Maximum number of agents that forward one packet of a flow that was handed
/// over more than once.
inline constexpr std::uint8_t max_moved_passes = 16;
/// Time for which a stopping agent waits for further packets of moved flows
/// after the last one. Callers retransmit at least every 2 s.
inline constexpr duration moved_linger = std::chrono::milliseconds(2500);
/// Limits of the interval between repeated `moved` replies, which doubles each
/// time. A caller that lost all of them before the source agent ended is
/// without service for at most the longest interval.
inline constexpr duration moved_min_interval = std::chrono::milliseconds(100);
inline constexpr duration moved_max_interval = std::chrono::seconds(10);
/// Time for which a leaving agent still admits new requests of a flow that has
/// requests outstanding.
inline constexpr duration freeze_delay = std::chrono::seconds(2);

/// Forwards a packet to another agent with a cookie that this agent accepts.
template <class Sink>
void forward_packet(agent_call<Sink> call, endpoint to, forward message,
    route_cookie const& cookie) {
    if (message.passes >= max_moved_passes)
        return;
    message.origin = call.state.view.make_stamp(message.packet.service);
    ++message.passes;
    message.packet.cookie = cookie;
    call.sink.send_forward(to, message);
}

/// Forwards a repeated request to the source agent, which held the flow when
/// the request was first received and is the only one that has its answer.
template <class Sink>
void forward_to_source(
    agent_call<Sink> call, flow_entry const& flow, forward const& message) {
    forward_packet(
        call, flow.in->source, message, call.state.make_cookie(flow));
}

template <class Sink> void send_moved(agent_call<Sink> call, flow_entry& flow) {
    auto& in = *flow.in;
    in.next_moved = call.now + in.moved_interval;
    in.moved_interval = std::min(in.moved_interval * 2, moved_max_interval);
    send_reply(call, flow,
        caller_reply{
            .kind = reply_kind::moved, .cookie = call.state.make_cookie(flow)});
}

/// For a flow that was taken over, records whether the caller used the new
/// cookie, or the old one, so that the source agent forwarded the packet.
template <class Sink>
void record_cookie_use(
    agent_call<Sink> call, flow_entry& flow, forward const& message) {
    if (!flow.in || flow.in->is_confirmed)
        return;
    auto& in = *flow.in;
    if (message.passes == 0) {
        in.is_confirmed = true;
        return;
    }
    // The caller still uses the old cookie, so `moved` was lost.
    if (in.moved_interval > moved_min_interval * 2) {
        in.moved_interval = moved_min_interval;
        send_moved(call, flow);
    }
}

/// True if new requests are ignored until the flow has been handed over.
inline bool is_frozen(
    agent_state const& state, flow_entry const& flow, instant now) {
    bool const is_ready = flow.out.step == handover_step::ready;
    return is_ready && now >= state.leaving_since + freeze_delay;
}

template <class Sink>
void forward_moved(
    agent_call<Sink> call, flow_entry const& flow, forward const& message) {
    auto const& cookie = flow.out.moved_to;
    if (call.state.view.is_out(cookie.domain))
        return send_reset(call, message, reason::domain_out);
    call.state.linger_until = call.now + moved_linger;
    forward_packet(call, cookie.agent, message, cookie);
}

} // namespace radishspread::agent_internal

#endif
