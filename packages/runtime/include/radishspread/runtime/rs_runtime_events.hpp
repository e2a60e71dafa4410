#ifndef RADISHSPREAD_RUNTIME_RS_RUNTIME_EVENTS_HPP
#define RADISHSPREAD_RUNTIME_RS_RUNTIME_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>
#include <cstdint>

namespace radishspread::runtime {

/// Numbers of the events of this package.
enum runtime_event : std::uint16_t {
    events_suppressed = 1300,
    process_started = 1301,
    process_stopping = 1302,
    process_finished = 1303,
    process_shutdown_forced = 1304,
    socket_not_opened = 1305,
    service_port_opened = 1306,
    service_port_closed = 1307,
    queued_datagrams_discarded = 1308,
    section_read_failed = 1309,
    watch_failed = 1310,
    section_has_faults = 1311,
    peer_read_failed = 1312,
    peer_tag_invalid = 1313,
    peer_connection_refused = 1314,
    peer_connection_dropped = 1315,
    backend_connection_closed = 1316,
    metrics_endpoint_not_opened = 1317,
    trace_file_not_opened = 1318,
    datagrams_not_sent = 1319,
};

/// Catalogue of the events of this package.
inline constexpr std::array runtime_events{
    event_description{events_suppressed, severity::warning,
        "events suppressed by the rate limit; value is their count"},
    event_description{process_started, severity::info, "process started"},
    event_description{process_stopping, severity::info,
        "graceful shutdown started; value is its deadline in milliseconds"},
    event_description{process_finished, severity::info, "process finished"},
    event_description{process_shutdown_forced, severity::error,
        "shutdown forced; value is the count of requests aborted"},
    event_description{socket_not_opened, severity::error, "socket not opened"},
    event_description{
        service_port_opened, severity::info, "service port opened"},
    event_description{
        service_port_closed, severity::info, "service port closed"},
    event_description{queued_datagrams_discarded, severity::warning,
        "process was paused; value is the count of datagrams discarded"},
    event_description{section_read_failed, severity::warning,
        "section read from the configuration service failed"},
    event_description{watch_failed, severity::warning,
        "watch at the configuration service failed"},
    event_description{section_has_faults, severity::error,
        "section refused because of faults; value is its revision"},
    event_description{
        peer_read_failed, severity::warning, "read from a peer failed"},
    event_description{peer_tag_invalid, severity::error,
        "response of a peer has an invalid tag"},
    event_description{peer_connection_refused, severity::warning,
        "peer connection refused: too many are open"},
    event_description{
        peer_connection_dropped, severity::warning, "peer connection dropped"},
    event_description{backend_connection_closed, severity::info,
        "connection to the backend server closed"},
    event_description{metrics_endpoint_not_opened, severity::error,
        "metrics endpoint not opened"},
    event_description{
        trace_file_not_opened, severity::error, "trace file not opened"},
    event_description{datagrams_not_sent, severity::warning,
        "datagrams dropped on send; value is their count"},
};

} // namespace radishspread::runtime

#endif
