#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_OPEN_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_OPEN_IMPL_HPP

#include <radishspread/core/internal/rs_agent_reply_impl.hpp>

namespace radishspread::agent_internal {

/// Maximum number of times that an opening is forwarded from agent to agent.
inline constexpr std::uint8_t max_open_passes = 3;
/// Value of `forward::least_load` if no agent so far could accept the opening.
inline constexpr std::uint16_t no_least_load = 0xffff;
/// An agent below this load, in 1/1000 of its admission bound, accepts an
/// opening without comparing its load to that of other agents.
inline constexpr std::uint16_t light_load = 500;

inline flow_key key_of(forward const& message) {
    return {.service = message.packet.service,
        .caller = message.caller,
        .flow = message.packet.flow};
}

template <class Sink>
void send_opened(
    agent_call<Sink> call, flow_entry const& flow, trace_context const& trace) {
    send_reply(call, flow,
        caller_reply{.kind = reply_kind::opened,
            .cookie = call.state.make_cookie(flow),
            .trace = trace});
}

template <class Sink>
void accept_opening(agent_call<Sink> call, forward const& message) {
    auto& flow =
        call.state.flows.add(key_of(message), flow_state::reserved, call.now);
    flow.domains_revision = call.state.view.held(internal::domains_name);
    flow.reply_to = message.reply_to;
    send_opened(call, flow, message.packet.trace);
}

template <class Sink>
void refuse_opening(agent_call<Sink> call, forward const& message, reason why) {
    auto const& packet = message.packet;
    log(call, {.number = agent_event::opening_refused,
                  .step = step::open,
                  .flow = packet.flow,
                  .reason = why});
    send_reply(call, message.reply_to, message.caller,
        caller_reply{.kind = reply_kind::refused,
            .service = packet.service,
            .flow = packet.flow,
            .outcome = outcome::not_run,
            .reason = why,
            .trace = packet.trace});
}

template <class Sink>
void forward_opening(agent_call<Sink> call, forward message, std::size_t to) {
    message.origin = call.state.view.make_stamp(message.packet.service);
    ++message.passes;
    call.sink.send_forward(message.candidates[to].agent, message);
}

/// Index of the next candidate after this agent whose failure domain is in, or
/// the number of candidates if there is none.
inline std::size_t next_candidate(
    agent_state const& state, forward const& message, std::size_t own) {
    auto const n = message.candidates.size();
    if (message.passes >= max_open_passes)
        return n;
    auto next = own + 1;
    while (next < n && state.view.is_out(message.candidates[next].domain))
        ++next;
    return std::min(next, n);
}

/// Forwards an opening to the next candidate, or after the last one to the
/// least loaded agent found, which accepts or refuses it.
template <class Sink>
void forward_or_finish_opening(
    agent_call<Sink> call, forward message, reason why) {
    auto& state = call.state;
    auto const n = message.candidates.size();
    auto const self = state.options.document.self;
    auto const found =
        std::find_if(message.candidates.begin(), message.candidates.end(),
            [self](auto const& it) { return it.agent == self; });
    auto const own =
        static_cast<std::size_t>(found - message.candidates.begin());
    bool const is_least =
        why == reason::none && state.load() < message.least_load;
    if (is_least) {
        message.least_load = state.load();
        message.least_index = static_cast<std::uint8_t>(own);
    }
    auto const next = next_candidate(state, message, own);
    if (next < n)
        return forward_opening(call, message, next);
    if (is_least)
        return accept_opening(call, message);
    auto const least = std::size_t{message.least_index};
    if (message.least_load == no_least_load || least >= n || least == own)
        return refuse_opening(
            call, message, why == reason::none ? reason::overloaded : why);
    message.must_accept = true;
    forward_opening(call, message, least);
}

template <class Sink>
void on_open(agent_call<Sink> call, forward const& message) {
    auto& state = call.state;
    if (message.packet.service != state.options.service)
        return refuse_opening(call, message, reason::unknown_service);
    if (auto* const flow = state.flows.find_reservation(key_of(message))) {
        flow->reply_to = message.reply_to;
        flow->last_packet = call.now;
        return send_opened(call, *flow, message.packet.trace);
    }
    auto why = state.flow_refusal_reason();
    auto const room = state.limiter.bound() + state.max_queued();
    if (why == reason::none && state.demand() >= room)
        why = reason::overloaded;
    bool const is_light = state.load() < light_load;
    if (why == reason::none && (message.must_accept || is_light))
        return accept_opening(call, message);
    if (message.must_accept)
        return refuse_opening(call, message, why);
    forward_or_finish_opening(call, message, why);
}

} // namespace radishspread::agent_internal

#endif
