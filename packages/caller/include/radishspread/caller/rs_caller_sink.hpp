#ifndef RADISHSPREAD_CALLER_RS_CALLER_SINK_HPP
#define RADISHSPREAD_CALLER_RS_CALLER_SINK_HPP

#include <radishspread/caller/rs_finished_request.hpp>
#include <radishspread/core/rs_caller_packet.hpp>

namespace radishspread {

/// Receives the actions of a `caller_session`.
template <class Sink>
concept caller_sink = requires(
    Sink& sink, caller_packet const& packet, finished_request& it) {
    sink.send(packet);        // To the service's address.
    sink.finished(it);        // Exactly once for each request.
    sink.flow_lost(reason{}); // At most once: reset, unresponsive, not opened.
};

} // namespace radishspread

#endif
