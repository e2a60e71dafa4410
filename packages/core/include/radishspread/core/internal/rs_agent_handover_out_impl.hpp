#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_OUT_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_OUT_IMPL_HPP

#include <radishspread/core/internal/rs_agent_request_impl.hpp>

namespace radishspread::agent_internal {

/// Queries sent to one agent before the next candidate is queried.
inline constexpr std::uint8_t max_queries = 3;
/// Delay before a flow that no agent accepted is offered again.
inline constexpr duration offer_delay = std::chrono::seconds(2);
/// Time for which the reply to a query is valid. If the target restarts after
/// its reply, a handover committed to its old incarnation loses the flow, so
/// the reply must be recent.
inline constexpr duration query_reply_lifetime = std::chrono::milliseconds(200);
/// Time after which a committed handover without a reply is abandoned and the
/// flow dropped.
inline constexpr duration commit_timeout = std::chrono::seconds(10);
/// Maximum number of handovers started in one tick, so that the other agents
/// receive them evenly.
inline constexpr unsigned offers_per_tick = 64;

template <class Sink>
void send_handover(agent_call<Sink> call, flow_entry& flow) {
    auto& state = call.state;
    auto& out = flow.out;
    ++out.sends;
    out.next_send = call.now + state.options.handover_retry;
    call.sink.send_handover(out.targets[out.index].agent,
        handover{.origin = state.view.make_stamp(flow.key.service),
            .flow = flow.key,
            .opening = flow.opening,
            .window = flow.window,
            .reply_to = flow.reply_to,
            .target = out.is_committed() ? out.incarnation : 0});
}

inline void enter_step(flow_entry& flow, handover_step step, instant now) {
    flow.out.step = step;
    flow.out.sends = 0;
    flow.out.step_since = now;
}

/// Queries the target's incarnation and whether it accepts the flow.
template <class Sink>
void query_target(agent_call<Sink> call, flow_entry& flow) {
    enter_step(flow, handover_step::querying, call.now);
    send_handover(call, flow);
}

/// Ends the handover attempt and schedules the next one. The flow stays here.
template <class Sink>
void postpone_handover(agent_call<Sink> call, flow_entry& flow) {
    enter_step(flow, handover_step::none, call.now);
    flow.out.next_send = call.now + offer_delay;
    log(call, {.number = agent_event::handover_postponed,
                  .step = step::hand_over,
                  .flow = flow.key.flow});
    if (flow.out.is_closing)
        on_close(call, flow);
}

template <class Sink>
void try_next_target(agent_call<Sink> call, flow_entry& flow) {
    if (flow.out.index + 1 >= flow.out.targets.size())
        return postpone_handover(call, flow);
    ++flow.out.index;
    query_target(call, flow);
}

template <class Sink> void offer_flow(agent_call<Sink> call, flow_entry& flow) {
    flow.out.targets = call.state.choose_targets(flow.key);
    flow.out.index = 0;
    if (flow.out.targets.empty())
        return postpone_handover(call, flow);
    query_target(call, flow);
}

/// Removes the flow's requests from the queue when the backend server is
/// unreachable. Those that were never dispatched may be run by the next owner
/// of the flow; the others end with an unknown outcome.
template <class Sink>
void withdraw_queued(agent_call<Sink> call, flow_entry& flow) {
    auto& state = call.state;
    std::vector<request_id> ids;
    for (auto const& record : flow.records) {
        if (record.state == request_state::queued)
            ids.push_back(record.id);
    }
    for (auto const id : ids) {
        auto const request =
            state.queue.take({.opening = flow.opening, .request = id});
        if (!request)
            continue;
        if (request->was_dispatched) {
            end_queued(call, *request, reason::backend_lost);
            continue;
        }
        --flow.queued;
        flow.withdraw(id);
    }
}

/// Commits the handover if the target has accepted it and no request of the
/// flow is queued or dispatched.
template <class Sink>
void commit_if_no_active_requests(agent_call<Sink> call, flow_entry& flow) {
    if (flow.out.step != handover_step::ready)
        return;
    if (flow.dispatched == 0 && call.state.is_backend_unreachable(call.now))
        withdraw_queued(call, flow);
    if (!flow.has_no_active_requests())
        return;
    enter_step(flow, handover_step::committed, call.now);
    send_handover(call, flow);
}

/// Drops the flow, because it is unknown whether the target owns it and the
/// target cannot be queried any more.
template <class Sink>
void abandon_handover(agent_call<Sink> call, flow_entry& flow) {
    log(call, {.number = agent_event::handover_abandoned,
                  .step = step::hand_over,
                  .peer = flow.out.targets[flow.out.index].agent,
                  .flow = flow.key.flow});
    drop_flow(call, flow.opening, false);
}

template <class Sink>
void advance_handover(agent_call<Sink> call, flow_entry& flow) {
    auto& out = flow.out;
    if (out.step == handover_step::ready) {
        if (call.now >= out.step_since + query_reply_lifetime)
            return query_target(call, flow);
        return commit_if_no_active_requests(call, flow);
    }
    if (call.now < out.next_send)
        return;
    if (out.is_committed() && call.now >= out.step_since + commit_timeout)
        return abandon_handover(call, flow);
    if (!out.is_committed() && out.sends >= max_queries)
        return try_next_target(call, flow);
    send_handover(call, flow);
}

/// Starts and advances the handovers of a leaving agent. Committed handovers
/// continue even if the agent is no longer leaving.
template <class Sink> void hand_over_flows(agent_call<Sink> call) {
    auto& state = call.state;
    bool const leaves = state.is_leaving(call.now) && !state.is_out();
    unsigned offers = 0;
    std::vector<open_id> due;
    for (auto const& [opening, flow] : state.flows) {
        if (flow.state != flow_state::established)
            continue;
        auto const step = flow.out.step;
        bool const is_offer = step == handover_step::none;
        if (is_offer && (!leaves || call.now < flow.out.next_send))
            continue;
        if (is_offer && ++offers > offers_per_tick)
            continue;
        due.push_back(opening);
    }
    for (auto const opening : due) {
        auto& flow = *state.flows.find(opening);
        if (flow.out.is_committed() || leaves)
            flow.out.step == handover_step::none ? offer_flow(call, flow)
                                                 : advance_handover(call, flow);
        else
            enter_step(flow, handover_step::none, call.now);
    }
}

/// Handles the confirmation that the target owns the flow.
template <class Sink>
void on_handed_over(
    agent_call<Sink> call, flow_entry& flow, route_cookie const& cookie) {
    auto& state = call.state;
    log(call, {.number = agent_event::flow_handed_over,
                  .step = step::hand_over,
                  .peer = cookie.agent,
                  .flow = flow.key.flow});
    enter_step(flow, handover_step::none, call.now);
    flow.out.moved_to = cookie;
    flow.last_packet = call.now;
    state.flows.set_moved(flow);
    state.linger_until = call.now + moved_linger;
    if (flow.out.is_closing) {
        forward message{.caller = flow.key.caller, .reply_to = flow.reply_to};
        message.packet.kind = packet_kind::close;
        message.packet.service = flow.key.service;
        message.packet.flow = flow.key.flow;
        forward_packet(call, cookie.agent, message, cookie);
    }
    auto const bound = std::max<std::size_t>(1, state.max_flows);
    while (state.flows.moved() > bound)
        drop_flow(call, state.flows.oldest_moved(), false);
}

/// Handles the reply to a committed handover.
template <class Sink>
void on_commit_reply(
    agent_call<Sink> call, flow_entry& flow, handover_reply const& reply) {
    auto const& out = flow.out;
    if (reply.target != out.incarnation)
        return;
    // The target has restarted; the incarnation that may have taken over the
    // flow no longer exists.
    if (reply.origin.incarnation != out.incarnation)
        return abandon_handover(call, flow);
    if (!reply.cookie)
        return try_next_target(call, flow);
    bool const is_valid = call.state.has_valid_tag(*reply.cookie, flow.key) &&
                          reply.cookie->agent == out.targets[out.index].agent &&
                          reply.cookie->incarnation == out.incarnation;
    if (is_valid)
        on_handed_over(call, flow, *reply.cookie);
}

template <class Sink>
void on_handover_reply(agent_call<Sink> call, handover_reply const& reply) {
    auto* const flow = call.state.flows.find(reply.opening);
    bool const is_known = flow != nullptr && flow->key == reply.flow &&
                          flow->state == flow_state::established &&
                          flow->out.step != handover_step::none;
    if (!is_known)
        return;
    auto& out = flow->out;
    if (reply.origin.sender != out.targets[out.index].agent)
        return;
    if (out.is_committed())
        return on_commit_reply(call, *flow, reply);
    if (out.step != handover_step::querying || reply.target != 0)
        return;
    if (reply.reason != reason::none)
        return try_next_target(call, *flow);
    out.incarnation = reply.origin.incarnation;
    enter_step(*flow, handover_step::ready, call.now);
    commit_if_no_active_requests(call, *flow);
}

} // namespace radishspread::agent_internal

#endif
