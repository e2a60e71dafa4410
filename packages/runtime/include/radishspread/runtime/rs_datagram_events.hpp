#ifndef RADISHSPREAD_RUNTIME_RS_DATAGRAM_EVENTS_HPP
#define RADISHSPREAD_RUNTIME_RS_DATAGRAM_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>
#include <cstdint>

namespace radishspread::runtime {

/// Numbers of the events about datagrams.
enum datagram_event : std::uint16_t {
    datagram_malformed = 1500,
    datagram_unexpected = 1501,
};

/// Descriptions of the events about datagrams.
inline constexpr std::array datagram_events{
    event_description{
        datagram_malformed, severity::warning, "datagram not decoded, dropped"},
    event_description{datagram_unexpected, severity::warning,
        "message not meant for this kind of process, dropped"},
};

} // namespace radishspread::runtime

#endif
