#ifndef RADISHSPREAD_CORE_RS_AGENT_HPP
#define RADISHSPREAD_CORE_RS_AGENT_HPP

#include <radishspread/core/internal/rs_agent_state.hpp>
#include <radishspread/core/rs_agent_load.hpp>
#include <radishspread/core/rs_agent_options.hpp>
#include <radishspread/core/rs_backend_event.hpp>
#include <radishspread/core/rs_document.hpp>
#include <radishspread/core/rs_forward.hpp>
#include <radishspread/core/rs_handover.hpp>
#include <radishspread/core/rs_handover_reply.hpp>
#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/core/rs_stop_event.hpp>

namespace radishspread {

/// Core of an agent without I/O. Decides which flows and requests are admitted,
/// when each request is dispatched to the backend server, and which replies are
/// sent to callers. Actions are passed to the sink.
class agent {
public:
    explicit agent(agent_options options);

    template <agent_sink Sink> void start(instant now, Sink& sink);

    template <agent_sink Sink>
    void handle(instant now, forward const& message, Sink& sink);
    template <agent_sink Sink>
    void handle(instant now, backend_event const& event, Sink& sink);
    template <agent_sink Sink>
    void handle(instant now, handover const& message, Sink& sink);
    template <agent_sink Sink>
    void handle(instant now, handover_reply const& message, Sink& sink);
    template <agent_sink Sink>
    void handle(instant now, stop_event const& event, Sink& sink);

    /// Handles events of the document: see `document::handle`.
    template <class Event, agent_sink Sink>
    requires requires(
        document& it, instant now, Event const& event, Sink& sink) {
        it.handle(now, event, sink);
    }
    void handle(instant now, Event const& event, Sink& sink);

    template <agent_sink Sink> void tick(instant now, Sink& sink);

    /// True after a stop event once no work is left or its deadline has passed.
    [[nodiscard]] bool is_finished(instant now) const;

    /// Requests that are dispatched and have not ended; a forced stop reports
    /// this count.
    [[nodiscard]] std::size_t outstanding() const;

    /// Sizes of the tables, for metrics.
    [[nodiscard]] agent_load load() const;

    [[nodiscard]] document const& view() const;

private:
    agent_internal::agent_state state_;
};

} // namespace radishspread

#include <radishspread/core/internal/rs_agent_impl.hpp>

#endif
