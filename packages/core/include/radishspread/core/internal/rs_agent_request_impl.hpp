#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REQUEST_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REQUEST_IMPL_HPP

#include <radishspread/core/internal/rs_agent_dispatch_impl.hpp>
#include <radishspread/core/internal/rs_agent_moved_impl.hpp>
#include <radishspread/core/internal/rs_agent_window.hpp>

namespace radishspread::agent_internal {

/// Longest deadline of a request; longer ones are reduced to it.
inline constexpr std::chrono::milliseconds max_deadline = std::chrono::hours(1);

/// Removes a flow with its queued requests and stored answers. Dispatched
/// requests are cancelled if `cancels`; otherwise they occupy their slots until
/// they end.
template <class Sink>
void drop_flow(agent_call<Sink> call, open_id opening, bool cancels) {
    auto& state = call.state;
    auto* const flow = state.flows.find(opening);
    if (flow == nullptr)
        return;
    for (auto const& record : flow->records) {
        request_key const key{.opening = opening, .request = record.id};
        state.queue.take(key);
        state.answers.erase(key);
        state.transfers.erase(key);
    }
    if (cancels) {
        for (auto const id : state.dispatches.of_flow(opening)) {
            auto const it = finish_dispatch(call, id);
            call.sink.cancel(it->connection, id);
        }
    }
    state.flows.erase(opening);
}

/// Reason for which a request cannot be admitted, or `none`.
inline reason request_refusal_reason(
    agent_state const& state, caller_packet const& packet) {
    auto const deadline = std::min(packet.deadline, max_deadline);
    if (deadline <= std::chrono::milliseconds{0})
        return reason::deadline_exceeded;
    bool const is_slot_free =
        state.queue.empty() && state.dispatches.size() < state.limiter.bound();
    if (!is_slot_free && state.queue.size() >= state.max_queued())
        return reason::overloaded;
    if (!is_slot_free && state.expected_wait() > deadline)
        return reason::deadline_exceeded;
    return reason::none;
}

template <class Sink>
void admit(
    agent_call<Sink> call, flow_entry& flow, caller_packet const& packet) {
    auto& state = call.state;
    auto& record = flow.add(packet.request);
    record.trace = packet.trace;
    auto const why = request_refusal_reason(state, packet);
    if (why != reason::none)
        return end_request(call, flow, record, outcome::not_run, why);
    ++flow.queued;
    state.queue.push_back(
        {.key = {.opening = flow.opening, .request = packet.request},
            .deadline = call.now + std::min(packet.deadline, max_deadline),
            .idempotent = packet.idempotent,
            .trace = packet.trace,
            .payload = {packet.payload.begin(), packet.payload.end()}});
    dispatch_queued(call);
}

/// Handles a repeated request: its id is marked as taken.
template <class Sink>
void on_repeat(
    agent_call<Sink> call, flow_entry& flow, forward const& message) {
    auto const& packet = message.packet;
    auto const* const record = flow.find(packet.request);
    if (record == nullptr && flow.in)
        return forward_to_source(call, flow, message);
    if (record == nullptr)
        return send_refused(call, flow, packet.request, outcome::unknown,
            reason::answer_dropped, packet.trace);
    if (record->state == request_state::answered)
        return send_answer(call, flow, *record, packet.received);
    if (record->state == request_state::ended)
        send_ended(call, flow, *record);
}

template <class Sink>
void on_request(
    agent_call<Sink> call, flow_entry& flow, forward const& message) {
    auto const& packet = message.packet;
    bool const is_valid =
        packet.request != 0 && packet.payload.size() <= max_payload;
    if (!is_valid)
        return;
    switch (position_of(flow.window, packet.request)) {
    case window_position::stale:
        return send_refused(call, flow, packet.request, outcome::unknown,
            reason::stale_request, packet.trace);
    case window_position::taken:
        return on_repeat(call, flow, message);
    case window_position::fresh:
        // A frozen flow is about to be handed over: the caller retransmits the
        // request, and the next owner runs it.
        if (!is_frozen(call.state, flow, call.now))
            admit(call, flow, packet);
    }
}

/// Cancels a request that is queued or dispatched.
template <class Sink>
void cancel_request(
    agent_call<Sink> call, flow_entry& flow, request_record& record) {
    auto& state = call.state;
    request_key const key{.opening = flow.opening, .request = record.id};
    auto result = outcome::unknown;
    if (auto const* const found = state.dispatches.find(key)) {
        auto const it = finish_dispatch(call, found->id);
        call.sink.cancel(it->connection, it->id);
    } else if (auto const request = state.queue.take(key)) {
        --flow.queued;
        if (!request->was_dispatched)
            result = outcome::not_run;
    }
    end_request(call, flow, record, result, reason::cancelled);
    dispatch_queued(call);
}

template <class Sink>
void on_cancel(
    agent_call<Sink> call, flow_entry& flow, caller_packet const& packet) {
    if (packet.request == 0)
        return;
    auto const position = position_of(flow.window, packet.request);
    if (position == window_position::fresh) {
        // The request is still in transit or lost. Recording its id ensures
        // that it does not run after the reply that it was not run.
        auto& record = flow.add(packet.request);
        record.trace = packet.trace;
        return end_request(
            call, flow, record, outcome::not_run, reason::cancelled);
    }
    auto* const record = flow.find(packet.request);
    if (record == nullptr)
        return send_refused(call, flow, packet.request, outcome::unknown,
            reason::cancelled, packet.trace);
    if (record->state == request_state::ended)
        return send_ended(call, flow, *record);
    if (record->state != request_state::answered)
        return cancel_request(call, flow, *record);
    request_key const key{.opening = flow.opening, .request = record->id};
    call.state.transfers.erase(key);
    call.state.answers.acknowledge(key);
    send_refused(call, flow, packet.request, outcome::unknown,
        reason::cancelled, packet.trace);
}

template <class Sink> void on_close(agent_call<Sink> call, flow_entry& flow) {
    drop_flow(call, flow.opening, true);
    dispatch_queued(call);
}

} // namespace radishspread::agent_internal

#endif
