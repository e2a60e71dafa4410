#ifndef RADISHSPREAD_CORE_RS_PACKET_LOG_HPP
#define RADISHSPREAD_CORE_RS_PACKET_LOG_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_fleet_change.hpp>
#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_refusal.hpp>

#include <cstdint>
#include <string_view>

namespace radishspread {

/// A decision about a packet flow, or a change of what the process believes.
struct packet_log {
    std::uint16_t number = 0; ///< From `packet_events`.
    packet_flow flow;         ///< Unset if no flow is concerned.
    endpoint peer;            ///< Agent or balancer concerned, if any.
    refusal why = refusal::none;
    std::uint64_t version = 0; ///< Version of the routes that decided.
    std::int64_t value = 0;    ///< Meaning depends on the event.
    std::int64_t age_ms = -1;  ///< Age of the deciding input; -1: none.
    std::string_view text;     ///< Name of an item; valid in the call.
};

/// Log event for a changed item; its text points into `change`.
[[nodiscard]] packet_log describe(fleet_change const& change);

} // namespace radishspread

#endif
