#ifndef RADISHSPREAD_CORE_RS_PACKET_SINKS_HPP
#define RADISHSPREAD_CORE_RS_PACKET_SINKS_HPP

#include <radishspread/core/rs_agent_packet.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_packet_log.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread {

/// Interface through which the cores for packet flows act. Spans and string
/// views passed to a sink are valid only during the call.
template <class Sink>
concept packet_sink = requires(Sink& sink, endpoint to,
    agent_packet const& message, packet_flow const& flow,
    std::span<std::byte const> bytes, std::uint32_t sequence,
    packet_log const& event) {
    sink.send(to, message);            // to a balancer or an agent
    sink.send_caller(flow, bytes);     // forward a packet unchanged
    sink.send_backend(bytes);          // agent: to its backend server
    sink.reset_caller(flow, sequence); // send a generated reset
    sink.refresh_view();               // read the configuration again
    sink.refresh_members();            // read the backend servers again
    sink.catch_up(to);                 // read from this process, which is newer
    sink.log(event);
};

} // namespace radishspread

#endif
