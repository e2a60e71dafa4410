#ifndef RADISHSPREAD_CORE_RS_PACKET_LOG_HPP
#define RADISHSPREAD_CORE_RS_PACKET_LOG_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_fleet_change.hpp>
#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_refusal.hpp>

#include <cstdint>
#include <string_view>

namespace radishspread {

/// Log event: a decision about a packet flow or a change of the process's
/// state.
struct packet_log {
    std::uint16_t number = 0; ///< From `packet_events`.
    packet_flow flow;         ///< Unset if the event has no flow.
    endpoint peer;            ///< Agent or balancer involved, if any.
    refusal why = refusal::none;
    std::uint64_t version = 0; ///< Routes version the decision used.
    std::int64_t value = 0;    ///< Meaning depends on the event.
    std::int64_t age_ms = -1;  ///< Age of the input; -1: not applicable.
    std::string_view text;     ///< Item name; valid during the call.
    item_version item;         ///< Of a changed item.
    int priority = -1;         ///< Of the flow's route; -1: not applicable.
    /// Time that the opening waited for a slot; negative: not applicable.
    duration queued_for{-1};
};

/// Log event for a changed item; its `text` refers to `change`.
[[nodiscard]] packet_log describe(fleet_change const& change);

} // namespace radishspread

#endif
