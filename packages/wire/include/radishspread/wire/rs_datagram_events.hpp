#ifndef RADISHSPREAD_WIRE_RS_DATAGRAM_EVENTS_HPP
#define RADISHSPREAD_WIRE_RS_DATAGRAM_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>

namespace radishspread::wire {

/// Numbers of log events about datagrams. They are logged at a limited rate.
namespace datagram_event {
inline constexpr std::uint16_t rejected = 1510;
inline constexpr std::uint16_t wrong_tag = 1511;
inline constexpr std::uint16_t not_encoded = 1512;
} // namespace datagram_event

inline constexpr std::array datagram_events{
    event_description{datagram_event::rejected, severity::warning,
        "datagram rejected: too large, malformed or out of range"},
    event_description{datagram_event::wrong_tag, severity::warning,
        "datagram rejected: its keyed tag does not match the fleet key"},
    event_description{datagram_event::not_encoded, severity::error,
        "message not sent: a value is out of its range"},
};

} // namespace radishspread::wire

#endif
