#ifndef RADISHSPREAD_CALLER_RS_CALLER_SINK_HPP
#define RADISHSPREAD_CALLER_RS_CALLER_SINK_HPP

#include <radishspread/caller/rs_finished_request.hpp>
#include <radishspread/core/rs_caller_packet.hpp>

namespace radishspread {

/// Actions of a caller's flow.
template <class Sink>
concept caller_sink = requires(
    Sink& sink, caller_packet const& packet, finished_request& it) {
    sink.send(packet);        // to the service's address
    sink.finished(it);        // exactly once for each request
    sink.flow_lost(reason{}); // once: reset, or never opened
};

} // namespace radishspread

#endif
