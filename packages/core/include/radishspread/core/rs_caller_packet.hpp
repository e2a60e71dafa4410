#ifndef RADISHSPREAD_CORE_RS_CALLER_PACKET_HPP
#define RADISHSPREAD_CORE_RS_CALLER_PACKET_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_route_cookie.hpp>
#include <radishspread/core/rs_trace_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishspread {

/// Kind of a packet from a caller.
enum class packet_kind : std::uint8_t {
    open,      ///< Opens a flow; carries no request.
    request,   ///< Sends a request or retransmits it.
    keepalive, ///< Confirms a cookie or keeps an idle flow open.
    cancel,    ///< Cancels a request.
    close,     ///< Ends the flow.
};

/// Largest payload of one packet, in bytes.
inline constexpr std::size_t max_payload = 1024;

/// A packet from a caller.
struct caller_packet {
    packet_kind kind = packet_kind::open;
    service_id service = 0;
    flow_id flow = 0;
    std::uint8_t attempt = 0; ///< `open`: incremented per retransmission.
    std::optional<route_cookie> cookie;
    request_id request = 0;
    bool idempotent = false;
    std::chrono::milliseconds deadline{0}; ///< Time left for the request.
    std::uint32_t received = 0; ///< Answer bytes received by the caller.
    trace_context trace;
    std::span<std::byte const> payload;
};

} // namespace radishspread

#endif
