#ifndef RADISHSPREAD_CORE_RS_AGENT_EVENTS_HPP
#define RADISHSPREAD_CORE_RS_AGENT_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>
#include <cstddef>

namespace radishspread {

/// Numbers of the agent's events.
namespace agent_event {

inline constexpr std::uint16_t first = 1100;
inline constexpr std::uint16_t started = 1100;
inline constexpr std::uint16_t opening_refused = 1101;
inline constexpr std::uint16_t request_refused = 1102;
inline constexpr std::uint16_t request_unknown = 1103;
inline constexpr std::uint16_t invalid_packet = 1104;
inline constexpr std::uint16_t flow_reset = 1105;
inline constexpr std::uint16_t connected = 1106;
inline constexpr std::uint16_t disconnected = 1107;
inline constexpr std::uint16_t unresponsive = 1108;
inline constexpr std::uint16_t going_away = 1109;
inline constexpr std::uint16_t bound_reduced = 1110;
inline constexpr std::uint16_t flow_handed_over = 1111;
inline constexpr std::uint16_t handover_postponed = 1112;
inline constexpr std::uint16_t handover_abandoned = 1113;
inline constexpr std::uint16_t flow_taken_over = 1114;
inline constexpr std::uint16_t leaving = 1115;
inline constexpr std::uint16_t leaving_ended = 1116;
inline constexpr std::uint16_t domain_out = 1117;
inline constexpr std::uint16_t domain_restored = 1118;
inline constexpr std::uint16_t paused = 1119;
inline constexpr std::uint16_t stopping = 1120;
inline constexpr std::size_t count = 21;

} // namespace agent_event

/// Severity and text of the agent's events.
inline constexpr std::array<event_description, agent_event::count> agent_events{
    {
        {agent_event::started, severity::info, "agent started"},
        {agent_event::opening_refused, severity::info, "opening refused"},
        {agent_event::request_refused, severity::info,
            "request refused, not run"},
        {agent_event::request_unknown, severity::warning,
            "request ended with an unknown outcome"},
        {agent_event::invalid_packet, severity::warning,
            "packet dropped: invalid cookie or fields"},
        {agent_event::flow_reset, severity::info, "flow reset"},
        {agent_event::connected, severity::info,
            "connected to the backend server; value: stream limit"},
        {agent_event::disconnected, severity::warning,
            "connection to the backend server closed"},
        {agent_event::unresponsive, severity::warning,
            "unresponsive connection to the backend server replaced"},
        {agent_event::going_away, severity::info, "backend server sent GOAWAY"},
        {agent_event::bound_reduced, severity::warning,
            "admission bound reduced; value: new bound"},
        {agent_event::flow_handed_over, severity::info,
            "flow handed over to another agent"},
        {agent_event::handover_postponed, severity::info,
            "no other agent accepts the flow; retrying later"},
        {agent_event::handover_abandoned, severity::warning,
            "handover abandoned without confirmation; flow dropped"},
        {agent_event::flow_taken_over, severity::info,
            "flow taken over from another agent"},
        {agent_event::leaving, severity::info,
            "handing flows over; value: flows held"},
        {agent_event::leaving_ended, severity::info,
            "no longer handing flows over"},
        {agent_event::domain_out, severity::warning,
            "failure domain out; dispatching nothing"},
        {agent_event::domain_restored, severity::info,
            "failure domain back; starting with the reduced bound"},
        {agent_event::paused, severity::warning,
            "process was paused; view is unproven"},
        {agent_event::stopping, severity::info,
            "graceful shutdown started; value: flows held"},
    }};

} // namespace radishspread

#endif
