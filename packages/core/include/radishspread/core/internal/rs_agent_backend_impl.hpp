#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_BACKEND_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_BACKEND_IMPL_HPP

#include <radishspread/core/internal/rs_agent_handover_out_impl.hpp>

namespace radishspread::agent_internal {

/// Maximum number of connections, including those that only finish requests
/// after a GOAWAY.
inline constexpr std::size_t max_connections = 8;

template <class Sink>
void log_connection_event(
    agent_call<Sink> call, std::uint16_t number, std::int64_t value = 0) {
    log(call, {.number = number, .step = step::dispatch, .value = value});
}

/// Records since when no connection accepts new requests.
template <class Sink> void record_disconnect(agent_call<Sink> call) {
    if (call.state.connections.current() == nullptr)
        call.state.disconnected_since = call.now;
}

/// Removes a connection. Its outstanding requests count as lost, because they
/// may have run.
template <class Sink>
void remove_connection(agent_call<Sink> call, std::uint64_t id) {
    auto& state = call.state;
    auto const* const connection = state.connections.find(id);
    if (connection == nullptr)
        return;
    bool const was_open = connection->state == connection_state::open;
    bool const was_usable = connection->state != connection_state::finishing;
    for (auto const dispatch : state.dispatches.on_connection(id)) {
        auto it = finish_dispatch(call, dispatch);
        on_lost(call, *it);
    }
    state.connections.erase(id);
    if (was_open)
        record_disconnect(call);
    if (was_usable)
        state.connections.back_off(call.now);
}

template <class Sink>
void on_connected(agent_call<Sink> call, backend_connection& connection,
    std::uint32_t max_streams) {
    auto& state = call.state;
    if (connection.state != connection_state::connecting)
        return;
    connection.state = connection_state::open;
    state.connections.connected();
    state.limiter.set_max_streams(max_streams);
    // A new connection usually follows a restart of the backend server, whose
    // caches are then cold. Only a connection that replaces an unresponsive one
    // is expected to reach the same process.
    if (state.is_next_connection_cold)
        state.limiter.reset_bound();
    state.is_next_connection_cold = true;
    log_connection_event(call, agent_event::connected, max_streams);
}

template <class Sink>
void on_going_away(agent_call<Sink> call, backend_connection& connection) {
    log_connection_event(call, agent_event::going_away);
    bool const was_open = connection.state == connection_state::open;
    connection.state = connection_state::finishing;
    if (was_open)
        record_disconnect(call);
    call.state.connections.retry_now(call.now);
}

/// Handles an event that ends one dispatched request.
template <class Sink>
void on_dispatch_event(agent_call<Sink> call, backend_event const& event) {
    auto it = finish_dispatch(call, event.id);
    if (!it)
        return;
    auto const opening = it->request.key.opening;
    if (event.kind == backend_event_kind::responded)
        on_response(call, *it, event);
    else if (event.kind == backend_event_kind::refused)
        on_refused(call, *it);
    else
        on_lost(call, *it);
    auto* const flow = call.state.flows.find(opening);
    if (flow != nullptr)
        commit_if_no_active_requests(call, *flow);
}

template <class Sink>
void on_backend_event(agent_call<Sink> call, backend_event const& event) {
    auto& state = call.state;
    auto* const connection = state.connections.find(event.connection);
    if (connection == nullptr)
        return;
    connection->idle_since = call.now;
    connection->is_pinged = false;
    switch (event.kind) {
    case backend_event_kind::connected:
        on_connected(call, *connection, event.max_streams);
        break;
    case backend_event_kind::limit:
        state.limiter.set_max_streams(event.max_streams);
        break;
    case backend_event_kind::progress:
        break;
    case backend_event_kind::responded:
    case backend_event_kind::refused:
    case backend_event_kind::lost:
        on_dispatch_event(call, event);
        break;
    case backend_event_kind::going_away:
        on_going_away(call, *connection);
        break;
    case backend_event_kind::closed:
        log_connection_event(call, agent_event::disconnected);
        remove_connection(call, event.connection);
        break;
    }
    dispatch_queued(call);
}

/// Closes an unresponsive connection and removes it. If it accepted new
/// requests, the next connection attempt is due at once.
template <class Sink>
void replace_connection(agent_call<Sink> call, std::uint64_t id) {
    auto& state = call.state;
    log_connection_event(call, agent_event::unresponsive);
    auto const* const connection = state.connections.find(id);
    bool const was_open = connection->state == connection_state::open;
    call.sink.disconnect(id);
    remove_connection(call, id);
    if (was_open) {
        state.is_next_connection_cold = false;
        state.connections.retry_now(call.now);
    }
}

/// True if nothing was received within the progress timeout after a PING. Sends
/// that PING after a first timeout without data. A connection attempt gets both
/// timeouts.
template <class Sink>
bool is_unresponsive(agent_call<Sink> call, backend_connection& it) {
    auto const timeout = call.state.options.progress_timeout;
    auto const waited = call.now - it.idle_since;
    if (it.state == connection_state::connecting)
        return waited >= 2 * timeout;
    if (it.outstanding == 0 || waited < timeout)
        return false;
    if (it.is_pinged)
        return true;
    // The timeout for the reply to the PING starts now.
    it.is_pinged = true;
    it.idle_since = call.now;
    call.sink.ping(it.id);
    return false;
}

/// Replaces unresponsive connections and opens the next connection when due.
template <class Sink> void maintain_connections(agent_call<Sink> call) {
    auto& connections = call.state.connections;
    std::vector<std::uint64_t> unresponsive;
    for (auto& it : connections.rows()) {
        if (is_unresponsive(call, it))
            unresponsive.push_back(it.id);
    }
    for (auto const id : unresponsive)
        replace_connection(call, id);
    if (connections.rows().size() >= max_connections)
        replace_connection(call, connections.rows().front().id);
    if (!connections.has_open_or_connecting() &&
        call.now >= connections.next_attempt())
        call.sink.connect(connections.add(call.now).id);
}

} // namespace radishspread::agent_internal

#endif
