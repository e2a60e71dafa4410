#ifndef RADISHSPREAD_CORE_RS_BALANCER_HPP
#define RADISHSPREAD_CORE_RS_BALANCER_HPP

#include <radishspread/core/rs_balancer_options.hpp>
#include <radishspread/core/rs_caller_packet_event.hpp>
#include <radishspread/core/rs_deliver.hpp>
#include <radishspread/core/rs_document.hpp>
#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/core/rs_stop_event.hpp>

namespace radishspread {

/// Decisions of a balancer: where each caller's packet goes, and which reply
/// goes to which caller. It holds no flow state.
class balancer {
public:
    explicit balancer(balancer_options options);

    template <balancer_sink Sink> void start(instant now, Sink& sink);

    template <balancer_sink Sink>
    void handle(instant now, caller_packet_event const& event, Sink& sink);
    template <balancer_sink Sink>
    void handle(instant now, deliver const& message, Sink& sink);
    template <balancer_sink Sink>
    void handle(instant now, stop_event const& event, Sink& sink);

    /// Events of the document: see `document::handle`.
    template <class Event, balancer_sink Sink>
    requires requires(
        document& it, instant now, Event const& event, Sink& sink) {
        it.handle(now, event, sink);
    }
    void handle(instant now, Event const& event, Sink& sink);

    template <balancer_sink Sink> void tick(instant now, Sink& sink);

    /// True once a stop was asked for and nothing is left to do.
    [[nodiscard]] bool is_finished(instant now) const;

    [[nodiscard]] document const& view() const;

private:
    balancer_options options_;
    document document_;
};

} // namespace radishspread

#endif
