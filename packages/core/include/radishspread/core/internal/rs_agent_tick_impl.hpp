#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_TICK_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_TICK_IMPL_HPP

#include <radishspread/core/internal/rs_agent_backend_impl.hpp>
#include <radishspread/core/internal/rs_agent_handover_in_impl.hpp>
#include <radishspread/core/internal/rs_agent_handover_out_impl.hpp>
#include <radishspread/core/internal/rs_agent_packet_impl.hpp>

namespace radishspread::agent_internal {

/// Time without packets after which a moved flow is removed and its packets are
/// no longer forwarded.
inline constexpr duration moved_idle_time = std::chrono::minutes(10);

/// Applies the state of the failure domain. While it is out, queued requests
/// are refused; when it is in again, the admission bound is reset.
template <class Sink> void apply_domain(agent_call<Sink> call) {
    auto& state = call.state;
    bool const is_out = state.is_out();
    if (is_out)
        refuse_queued(call);
    if (is_out == state.was_out)
        return;
    state.was_out = is_out;
    if (!is_out)
        state.limiter.reset_bound();
    log(call, {.number = is_out ? agent_event::domain_out
                                : agent_event::domain_restored,
                  .step = step::read_document});
}

template <class Sink> void apply_leaving(agent_call<Sink> call) {
    auto& state = call.state;
    bool const is_leaving = state.is_leaving(call.now);
    if (is_leaving == state.was_leaving)
        return;
    state.was_leaving = is_leaving;
    state.leaving_since = call.now;
    log(call, {.number = is_leaving ? agent_event::leaving
                                    : agent_event::leaving_ended,
                  .step = step::hand_over,
                  .value = static_cast<std::int64_t>(state.flows.owned())});
}

/// Applies the current view of the document.
template <class Sink> void apply_view(agent_call<Sink> call) {
    call.state.refresh(call.now);
    apply_domain(call);
    apply_leaving(call);
    dispatch_queued(call);
}

/// Detects a pause of the process and returns true if there was one. Timeouts
/// that were running then say nothing about the other side, so they are
/// restarted.
template <class Sink> bool check_pause(agent_call<Sink> call) {
    auto& state = call.state;
    if (!state.view.check_pause(call.now, call.sink))
        return false;
    log(call, {.number = agent_event::paused, .step = step::receive});
    state.refresh(call.now);
    for (auto& it : state.connections.rows()) {
        it.idle_since = call.now;
        it.is_pinged = false;
    }
    for (auto& [opening, flow] : state.flows) {
        if (flow.out.is_committed())
            flow.out.step_since = call.now;
    }
    return true;
}

/// Time for which a reservation counts as load. A caller sends its first
/// request within a round trip, so an older reservation belongs to a lost reply
/// or a duplicate; counting it until it expires would overstate the load.
inline constexpr duration pending_time = std::chrono::seconds(1);

/// Time without packets after which a flow is removed.
inline duration idle_time(agent_state const& state, flow_entry const& flow) {
    switch (flow.state) {
    case flow_state::reserved:
        return state.options.reservation_time;
    case flow_state::moved:
        return moved_idle_time;
    case flow_state::established:
        break;
    }
    return state.options.flow_idle_time;
}

template <class Sink> void expire_flows(agent_call<Sink> call) {
    auto& state = call.state;
    std::vector<open_id> expired;
    for (auto& [opening, flow] : state.flows) {
        if (flow.is_pending && call.now >= flow.last_packet + pending_time)
            state.flows.end_pending(flow);
        bool const is_idle =
            call.now >= flow.last_packet + idle_time(state, flow);
        if (is_idle && flow.has_no_active_requests() &&
            !flow.out.is_committed())
            expired.push_back(opening);
    }
    for (auto const opening : expired)
        drop_flow(call, opening, false);
}

/// Performs the periodic work of the agent.
template <class Sink> void run_tick(agent_call<Sink> call) {
    apply_view(call);
    expire_requests(call);
    maintain_connections(call);
    dispatch_queued(call);
    hand_over_flows(call);
    repeat_moved(call);
    continue_transfers(call);
    expire_flows(call);
    call.state.handover_decisions.expire(call.now);
}

} // namespace radishspread::agent_internal

#endif
