#ifndef RADISHSPREAD_CORE_RS_PACKET_EVENTS_HPP
#define RADISHSPREAD_CORE_RS_PACKET_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>
#include <cstddef>

namespace radishspread {

/// Numbers of the events of packet flows.
namespace packet_event {

inline constexpr std::uint16_t opening_sent = 1600;
inline constexpr std::uint16_t opening_reassigned = 1601;
inline constexpr std::uint16_t opening_refused = 1602;
inline constexpr std::uint16_t opening_dropped = 1603;
inline constexpr std::uint16_t opening_abandoned = 1604;
inline constexpr std::uint16_t flow_searched = 1605;
inline constexpr std::uint16_t flow_reset = 1606;
inline constexpr std::uint16_t flow_found = 1607;
inline constexpr std::uint16_t agent_suspect = 1608;
inline constexpr std::uint16_t agent_leaving = 1609;
inline constexpr std::uint16_t view_outdated = 1610;
inline constexpr std::uint16_t paused = 1611;
inline constexpr std::uint16_t table_full = 1612;
inline constexpr std::uint16_t flows_listed = 1613;
inline constexpr std::uint16_t agents_unreachable = 1614;
inline constexpr std::uint16_t agents_recovered = 1615;
inline constexpr std::uint16_t other_services_queried = 1616;
inline constexpr std::uint16_t opening_admitted = 1620;
inline constexpr std::uint16_t opening_declined = 1621;
inline constexpr std::uint16_t opening_returned = 1622;
inline constexpr std::uint16_t flow_probed = 1623;
inline constexpr std::uint16_t flow_not_held = 1624;
inline constexpr std::uint16_t flow_lost = 1625;
inline constexpr std::uint16_t flow_learned = 1626;
inline constexpr std::uint16_t backend_unresponsive = 1627;
inline constexpr std::uint16_t backend_state = 1628;
inline constexpr std::uint16_t opening_queued = 1629;
inline constexpr std::uint16_t request_queued = 1630;
inline constexpr std::uint16_t request_dropped = 1631;
inline constexpr std::uint16_t backend_failing = 1632;
inline constexpr std::uint16_t caller_over_share = 1633;
inline constexpr std::uint16_t agent_failing = 1617;
inline constexpr std::uint16_t routes_applied = 1640;
inline constexpr std::uint16_t member_changed = 1641;
inline constexpr std::uint16_t domain_changed = 1642;
inline constexpr std::uint16_t item_ignored = 1643;
inline constexpr std::uint16_t source_unreachable = 1644;
inline constexpr std::uint16_t source_recovered = 1645;
inline constexpr std::uint16_t history_lost = 1646;
inline constexpr std::uint16_t read_failed = 1647;
inline constexpr std::uint16_t reply_too_large = 1648;
inline constexpr std::uint16_t source_restored = 1649;
inline constexpr std::uint16_t item_deferred = 1661;
inline constexpr std::uint16_t process_started = 1650;
inline constexpr std::uint16_t process_stopping = 1651;
inline constexpr std::uint16_t process_stopped = 1652;
inline constexpr std::uint16_t settings_reloaded = 1653;
inline constexpr std::uint16_t became_ready = 1654;
inline constexpr std::uint16_t malformed_datagram = 1655;
inline constexpr std::uint16_t listen_failed = 1656;
inline constexpr std::uint16_t lines_dropped = 1657;
inline constexpr std::uint16_t limits_in_force = 1680;
inline constexpr std::uint16_t crash_report = 1681;
inline constexpr std::uint16_t library_message = 1682;
inline constexpr std::uint16_t read_given_up = 1660;
inline constexpr std::uint16_t setting_clamped = 1683;
inline constexpr std::uint16_t address_opened = 1684;
inline constexpr std::size_t count = 57;

} // namespace packet_event

/// Catalogue of the events of packet flows; see `event_description`.
inline constexpr std::array<event_description, packet_event::count>
    packet_events{{
        {packet_event::opening_sent, severity::info,
            "opening sent to an agent; value: agent's requests in progress"},
        {packet_event::opening_reassigned, severity::info,
            "opening reassigned to another agent; value: agents tried"},
        {packet_event::opening_refused, severity::info,
            "opening refused with a reset; value: agents tried"},
        {packet_event::opening_dropped, severity::info,
            "opening removed from the queue: its caller has given up"},
        {packet_event::opening_abandoned, severity::warning,
            "opening not admitted before its caller gave up; value: agents "
            "tried"},
        {packet_event::flow_searched, severity::info,
            "holder of the flow unknown, searching; value: agents queried"},
        {packet_event::flow_reset, severity::info,
            "flow reset; the reason is printed"},
        {packet_event::flow_found, severity::info,
            "holder of the flow found or changed"},
        {packet_event::agent_suspect, severity::warning,
            "agent does not reply to openings"},
        {packet_event::agent_leaving, severity::info, "agent is leaving"},
        {packet_event::view_outdated, severity::warning,
            "a message names newer routes; looking for them; value: looks in "
            "vain"},
        {packet_event::paused, severity::warning,
            "process was paused; value: length in ms"},
        {packet_event::table_full, severity::warning,
            "flow table full, oldest entries dropped; value: entries"},
        {packet_event::flows_listed, severity::info,
            "flow lists requested from agents; value: flows searched for"},
        {packet_event::agents_unreachable, severity::warning,
            "no agent replies, leaving the rotation; value: ms"},
        {packet_event::agents_recovered, severity::info,
            "agents reply again, back in rotation"},
        {packet_event::other_services_queried, severity::info,
            "lists of reassigned flows requested from agents of other "
            "services; value: agents"},
        {packet_event::opening_admitted, severity::info,
            "opening passed to the backend server; value: open flows"},
        {packet_event::opening_declined, severity::info,
            "opening declined; value: requests in progress"},
        {packet_event::opening_returned, severity::info,
            "opening returned by the backend server"},
        {packet_event::flow_probed, severity::info,
            "unknown flow probed at the backend server"},
        {packet_event::flow_not_held, severity::info,
            "backend server does not hold the flow"},
        {packet_event::flow_lost, severity::warning,
            "backend server has lost the flow; caller reset"},
        {packet_event::flow_learned, severity::info,
            "flow learned from a packet of the backend server"},
        {packet_event::backend_unresponsive, severity::warning,
            "responsiveness of the backend server changed; value: 1 "
            "unresponsive, "
            "0 responsive"},
        {packet_event::backend_state, severity::info,
            "state of the backend server changed; value: 1 draining, 2 cold"},
        {packet_event::opening_queued, severity::info,
            "opening queued for a free slot; value: queued openings"},
        {packet_event::request_queued, severity::info,
            "request on an open flow queued behind more urgent openings; "
            "value: queued openings and requests"},
        {packet_event::request_dropped, severity::info,
            "request on an open flow not passed on in time; its caller sends "
            "it again"},
        {packet_event::backend_failing, severity::warning,
            "backend server fails many requests; value: 1 failing, 0 "
            "recovered"},
        {packet_event::caller_over_share, severity::info,
            "opening queued behind those of other callers: its caller has more "
            "than an equal share of the places; value: queued openings"},
        {packet_event::agent_failing, severity::info,
            "agent reports that its backend server fails many requests"},
        {packet_event::routes_applied, severity::info,
            "routes in effect; value: routes"},
        {packet_event::member_changed, severity::info,
            "backend server changed; value: 1 draining, 2 cold, 4 removed"},
        {packet_event::domain_changed, severity::warning,
            "failure domain changed; value: 1 out, 0 in"},
        {packet_event::item_ignored, severity::warning,
            "configuration items ignored: unreadable; value: items"},
        {packet_event::source_unreachable, severity::warning,
            "configuration service unreachable; value: failures"},
        {packet_event::source_recovered, severity::info,
            "configuration service reachable again; value: ms without a reply"},
        {packet_event::history_lost, severity::info,
            "history of the configuration service expired; reading all items"},
        {packet_event::read_failed, severity::info,
            "call to the configuration service failed; value: status"},
        {packet_event::reply_too_large, severity::warning,
            "reply to a watch of the configuration service too large; reading "
            "all items"},
        {packet_event::source_restored, severity::warning,
            "era of the configuration service changed, it may have been "
            "restored from a backup; reading all items; value: era"},
        {packet_event::item_deferred, severity::warning,
            "configuration items not used for now: the service returns an "
            "older state; value: items"},
        {packet_event::process_started, severity::info, "process started"},
        {packet_event::process_stopping, severity::info,
            "graceful shutdown started; value: flows"},
        {packet_event::process_stopped, severity::info,
            "process ended; value: exit status"},
        {packet_event::settings_reloaded, severity::info,
            "settings file read again; value: keys that need a restart"},
        {packet_event::became_ready, severity::info,
            "view complete, ready for openings; value: ms since start"},
        {packet_event::malformed_datagram, severity::warning,
            "malformed datagram dropped; value: datagrams"},
        {packet_event::listen_failed, severity::error,
            "address cannot be opened"},
        {packet_event::lines_dropped, severity::info,
            "log lines left out; value: lines"},
        {packet_event::limits_in_force, severity::info,
            "version and limits in force"},
        {packet_event::crash_report, severity::error,
            "process ends, the cause is printed; value: exit status or signal"},
        {packet_event::library_message, severity::warning,
            "message of a library"},
        {packet_event::read_given_up, severity::warning,
            "read of the configuration service given up; value: items of the "
            "last page"},
        {packet_event::setting_clamped, severity::warning,
            "setting out of range, the nearest bound is used"},
        {packet_event::address_opened, severity::info,
            "address opened after further tries; value: ms since start"},
    }};

/// Index of the event in `packet_events`; `packet_event::count` if it has none.
[[nodiscard]] constexpr std::size_t packet_event_index(std::uint16_t number) {
    std::size_t n = 0;
    while (n != packet_events.size() && packet_events[n].number != number)
        ++n;
    return n;
}

} // namespace radishspread

#endif
