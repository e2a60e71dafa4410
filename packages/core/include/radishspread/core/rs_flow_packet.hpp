#ifndef RADISHSPREAD_CORE_RS_FLOW_PACKET_HPP
#define RADISHSPREAD_CORE_RS_FLOW_PACKET_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread {

/// A packet of a flow: the decoded header and the bytes to forward. Only the
/// two ends of the flow interpret the payload.
struct flow_packet {
    endpoint source;
    endpoint destination;
    bool is_opening = false; ///< First packet of a flow, or a retransmission.
    /// Of an opening: time since the caller sent its first copy.
    duration opening_age{0};
    bool is_opening_reply = false; ///< The backend server accepts the flow.
    bool is_acknowledging = false;
    bool is_finish = false;
    bool is_reset = false;
    bool is_returned = false; ///< The backend server refused the packet.
    std::uint32_t sequence = 0;
    /// Sequence number of the next byte expected from the other end.
    std::uint32_t acknowledged = 0;
    std::uint16_t payload_size = 0;
    std::span<std::byte const> bytes; ///< The whole datagram.

    /// Flow of a packet that a caller sent.
    [[nodiscard]] packet_flow from_caller() const {
        return {.caller = source, .service = destination};
    }
    /// Flow of a packet that a backend server sent.
    [[nodiscard]] packet_flow from_backend() const {
        return {.caller = destination, .service = source};
    }
};

} // namespace radishspread

#endif
