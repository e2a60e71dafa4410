#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_IMPL_HPP

#include <radishspread/core/internal/rs_agent_tick_impl.hpp>
#include <radishspread/core/rs_agent.hpp>

namespace radishspread {

template <agent_sink Sink> void agent::start(instant now, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    state_.unproven_since = now;
    state_.disconnected_since = now;
    state_.connections.retry_now(now);
    state_.view.start(now, sink);
    agent_internal::log(
        call, {.number = agent_event::started, .step = step::start});
    agent_internal::maintain_connections(call);
}

template <agent_sink Sink>
void agent::handle(instant now, forward const& message, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    // After a pause of the process, the message may have been queued before it
    // and be too old to act on.
    if (agent_internal::check_pause(call))
        return;
    state_.view.observe(now, state_.options.service, message.origin, sink);
    if (message.packet.kind == packet_kind::open)
        agent_internal::on_open(call, message);
    else
        agent_internal::on_packet(call, message);
}

template <agent_sink Sink>
void agent::handle(instant now, backend_event const& event, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    // Results of requests are valid regardless of their age.
    agent_internal::check_pause(call);
    agent_internal::on_backend_event(call, event);
}

template <agent_sink Sink>
void agent::handle(instant now, handover const& message, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    if (agent_internal::check_pause(call))
        return;
    state_.view.observe(now, message.flow.service, message.origin, sink);
    agent_internal::on_handover(call, message);
}

template <agent_sink Sink>
void agent::handle(instant now, handover_reply const& message, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    if (agent_internal::check_pause(call))
        return;
    state_.view.observe(now, message.flow.service, message.origin, sink);
    agent_internal::on_handover_reply(call, message);
}

template <agent_sink Sink>
void agent::handle(instant now, stop_event const& event, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    agent_internal::check_pause(call);
    if (!state_.is_stopping)
        agent_internal::log(call,
            {.number = agent_event::stopping,
                .step = step::stop,
                .value = static_cast<std::int64_t>(state_.flows.owned())});
    state_.is_stopping = true;
    state_.stop_deadline = now + event.deadline;
    agent_internal::apply_view(call);
    agent_internal::hand_over_flows(call);
}

template <class Event, agent_sink Sink>
requires requires(document& it, instant now, Event const& event, Sink& sink) {
    it.handle(now, event, sink);
}
void agent::handle(instant now, Event const& event, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    if (agent_internal::check_pause(call))
        return;
    state_.view.handle(now, event, sink);
    agent_internal::apply_view(call);
}

template <agent_sink Sink> void agent::tick(instant now, Sink& sink) {
    agent_internal::agent_call<Sink> const call{state_, now, sink};
    agent_internal::check_pause(call);
    state_.view.tick(now, sink);
    agent_internal::run_tick(call);
}

} // namespace radishspread

#endif
