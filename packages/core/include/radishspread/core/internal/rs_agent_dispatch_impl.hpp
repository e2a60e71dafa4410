#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_DISPATCH_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_DISPATCH_IMPL_HPP

#include <radishspread/core/internal/rs_agent_reply_impl.hpp>

namespace radishspread::agent_internal {

/// Ends a request that was removed from the queue and is not dispatched.
template <class Sink>
void end_queued(
    agent_call<Sink> call, queued_request const& request, reason why) {
    auto* const flow = call.state.flows.find(request.key.opening);
    if (flow == nullptr)
        return;
    --flow->queued;
    auto* const record = flow->find(request.key.request);
    if (record == nullptr)
        return;
    auto const result =
        request.was_dispatched ? outcome::unknown : outcome::not_run;
    end_request(call, *flow, *record, result, why);
}

template <class Sink>
void dispatch(agent_call<Sink> call, backend_connection& connection,
    flow_entry& flow, request_record& record, queued_request request) {
    record.state = request_state::dispatched;
    --flow.queued;
    ++flow.dispatched;
    if (connection.outstanding == 0) {
        connection.idle_since = call.now;
        connection.is_pinged = false;
    }
    ++connection.outstanding;
    auto& it =
        call.state.dispatches.add(call.now, connection.id, std::move(request));
    auto const left = it.request.deadline - call.now;
    call.sink.dispatch(connection.id,
        backend_request{.id = it.id,
            .request = record.id,
            .idempotent = it.request.idempotent,
            .deadline = std::chrono::ceil<std::chrono::milliseconds>(left),
            .trace = it.request.trace,
            .payload = it.request.payload});
    // Only an idempotent request may be dispatched again.
    if (!it.request.idempotent)
        it.request.payload = {};
}

/// Dispatches queued requests while slots are free.
template <class Sink> void dispatch_queued(agent_call<Sink> call) {
    auto& state = call.state;
    while (!state.queue.empty() && state.may_dispatch(call.now) &&
           state.dispatches.size() < state.limiter.bound()) {
        auto* const connection = state.connections.current();
        if (connection == nullptr)
            return;
        auto request = state.queue.pop_front();
        auto* const flow = state.flows.find(request.key.opening);
        auto* const record = flow ? flow->find(request.key.request) : nullptr;
        // A request without a record is older than its flow's window. Copies of
        // it get an unknown outcome as reply, so it must not run any more.
        bool const is_expired = request.deadline <= call.now;
        if (record == nullptr || is_expired)
            end_queued(call, request, reason::deadline_exceeded);
        else
            dispatch(call, *connection, *flow, *record, std::move(request));
    }
}

/// Removes a dispatch from the tables, which frees its slot. Returns nothing if
/// it has ended before.
template <class Sink>
std::optional<dispatched_request> finish_dispatch(
    agent_call<Sink> call, dispatch_id id) {
    auto& state = call.state;
    auto taken = state.dispatches.take(id);
    if (!taken)
        return taken;
    if (auto* const connection = state.connections.find(taken->connection))
        --connection->outstanding;
    if (auto* const flow = state.flows.find(taken->request.key.opening))
        --flow->dispatched;
    return taken;
}

/// Ends a request whose dispatch has ended without an answer.
template <class Sink>
void end_dispatched(
    agent_call<Sink> call, request_key key, outcome result, reason why) {
    auto* const flow = call.state.flows.find(key.opening);
    auto* const record = flow ? flow->find(key.request) : nullptr;
    if (record != nullptr)
        end_request(call, *flow, *record, result, why);
}

template <class Sink>
void on_failure(agent_call<Sink> call, dispatched_request const& it) {
    auto& limiter = call.state.limiter;
    auto const before = limiter.bound();
    limiter.failed(call.now, it.sent);
    if (limiter.bound() < before)
        log(call, {.number = agent_event::bound_reduced,
                      .step = step::answer,
                      .value = limiter.bound()});
}

template <class Sink>
void store_answer(agent_call<Sink> call, dispatched_request const& it,
    backend_event const& event) {
    auto& state = call.state;
    auto const key = it.request.key;
    auto* const flow = state.flows.find(key.opening);
    auto* const record = flow ? flow->find(key.request) : nullptr;
    if (record == nullptr)
        return;
    if (!state.answers.add(key, event.body))
        return end_request(
            call, *flow, *record, outcome::unknown, reason::answer_dropped);
    record->state = request_state::answered;
    record->status = event.status;
    send_answer(call, *flow, *record, 0);
}

template <class Sink>
void on_response(agent_call<Sink> call, dispatched_request const& it,
    backend_event const& event) {
    // Status codes from 500, including 503, are failures of the backend server.
    constexpr std::uint16_t first_error = 500;
    auto& state = call.state;
    if (event.status >= first_error) {
        on_failure(call, it);
    } else {
        state.limiter.succeeded(call.now, it.sent, call.now - it.sent);
        state.retries.deposit();
    }
    store_answer(call, it, event);
}

template <class Sink>
void on_refused(agent_call<Sink> call, dispatched_request const& it) {
    on_failure(call, it);
    // An earlier dispatch of the same request may have run.
    auto const result =
        it.request.was_dispatched ? outcome::unknown : outcome::not_run;
    end_dispatched(call, it.request.key, result, reason::backend_refused);
}

/// Queues a lost request for another dispatch; false if that is not allowed.
template <class Sink>
bool retry(agent_call<Sink> call, dispatched_request& it) {
    auto& state = call.state;
    auto* const flow = state.flows.find(it.request.key.opening);
    auto* const record = flow ? flow->find(it.request.key.request) : nullptr;
    bool const is_possible = record != nullptr && it.request.idempotent &&
                             it.request.deadline > call.now &&
                             !state.is_out() &&
                             state.queue.size() < state.max_queued();
    if (!is_possible || !state.retries.try_take())
        return false;
    record->state = request_state::queued;
    ++flow->queued;
    it.request.was_dispatched = true;
    state.queue.push_front(std::move(it.request));
    return true;
}

template <class Sink>
void on_lost(agent_call<Sink> call, dispatched_request& it) {
    on_failure(call, it);
    auto const key = it.request.key;
    if (!retry(call, it))
        end_dispatched(call, key, outcome::unknown, reason::backend_lost);
}

/// Ends queued and dispatched requests whose deadline has passed.
template <class Sink> void expire_requests(agent_call<Sink> call) {
    auto& state = call.state;
    while (auto request = state.queue.pop_expired(call.now))
        end_queued(call, *request, reason::deadline_exceeded);
    for (auto const id : state.dispatches.expired(call.now)) {
        auto const it = finish_dispatch(call, id);
        call.sink.cancel(it->connection, id);
        on_failure(call, *it);
        end_dispatched(
            call, it->request.key, outcome::unknown, reason::deadline_exceeded);
    }
}

/// Refuses all queued requests because the failure domain is out.
template <class Sink> void refuse_queued(agent_call<Sink> call) {
    while (!call.state.queue.empty())
        end_queued(call, call.state.queue.pop_front(), reason::domain_out);
}

} // namespace radishspread::agent_internal

#endif
