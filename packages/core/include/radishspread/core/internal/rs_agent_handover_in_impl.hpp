#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_IN_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_IN_IMPL_HPP

#include <radishspread/core/internal/rs_agent_moved_impl.hpp>

namespace radishspread::agent_internal {

/// Maximum number of stored handover decisions, as a multiple of the flows that
/// the agent may hold.
inline constexpr std::size_t max_decisions_per_flow = 4;

template <class Sink>
void send_decision(agent_call<Sink> call, handover const& message,
    handover_decision const& decision) {
    call.sink.send_handover_reply(message.origin.sender,
        handover_reply{
            .origin = call.state.view.make_stamp(message.flow.service),
            .flow = message.flow,
            .opening = message.opening,
            .cookie = decision.cookie,
            .reason = decision.reason,
            .target = message.target});
}

template <class Sink>
handover_decision take_over_flow(
    agent_call<Sink> call, handover const& message) {
    auto& state = call.state;
    auto& flow =
        state.flows.add(message.flow, flow_state::established, call.now);
    flow.domains_revision = state.view.held(internal::domains_name);
    flow.reply_to = message.reply_to;
    flow.window = message.window;
    flow.in = {
        .source = message.origin.sender, .moved_interval = moved_min_interval};
    log(call, {.number = agent_event::flow_taken_over,
                  .step = step::hand_over,
                  .peer = message.origin.sender,
                  .flow = message.flow.flow});
    send_moved(call, flow);
    return {.cookie = state.make_cookie(flow)};
}

inline reason handover_refusal_reason(
    agent_state& state, handover const& message) {
    if (message.flow.service != state.options.service)
        return reason::unknown_service;
    auto const why = state.flow_refusal_reason();
    bool const is_full = state.handover_decisions.size() >=
                         max_decisions_per_flow * state.max_flows;
    return why == reason::none && is_full ? reason::overloaded : why;
}

template <class Sink>
void on_handover(agent_call<Sink> call, handover const& message) {
    auto& state = call.state;
    if (message.target == 0)
        return send_decision(
            call, message, {.reason = handover_refusal_reason(state, message)});
    if (message.target != state.options.document.incarnation)
        return send_decision(
            call, message, {.reason = reason::stale_incarnation});
    handover_key const key{
        .incarnation = message.origin.incarnation, .opening = message.opening};
    if (auto const* const decision = state.handover_decisions.find(key))
        return send_decision(call, message, *decision);
    // A decision that cannot be stored must not be made: a copy of the message
    // could then be decided differently.
    if (state.handover_decisions.size() >=
        max_decisions_per_flow * state.max_flows)
        return;
    handover_decision decision{
        .reason = handover_refusal_reason(state, message)};
    if (decision.reason == reason::none)
        decision = take_over_flow(call, message);
    state.handover_decisions.add(call.now, key, decision);
    send_decision(call, message, decision);
}

/// Sends `moved` again for flows whose caller has not used the new cookie.
template <class Sink> void repeat_moved(agent_call<Sink> call) {
    for (auto& [opening, flow] : call.state.flows) {
        bool const is_due = flow.state == flow_state::established && flow.in &&
                            !flow.in->is_confirmed &&
                            call.now >= flow.in->next_moved;
        if (is_due)
            send_moved(call, flow);
    }
}

} // namespace radishspread::agent_internal

#endif
