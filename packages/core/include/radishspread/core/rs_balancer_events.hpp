#ifndef RADISHSPREAD_CORE_RS_BALANCER_EVENTS_HPP
#define RADISHSPREAD_CORE_RS_BALANCER_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>

namespace radishspread {

/// Numbers of the balancer's events.
namespace balancer_event {
inline constexpr std::uint16_t wrong_port = 1000;
inline constexpr std::uint16_t missing_cookie = 1001;
inline constexpr std::uint16_t invalid_cookie = 1002;
inline constexpr std::uint16_t domain_out = 1003;
inline constexpr std::uint16_t domains_unknown = 1004;
inline constexpr std::uint16_t unproven_view = 1005;
inline constexpr std::uint16_t unknown_service = 1006;
inline constexpr std::uint16_t no_candidate = 1007;
inline constexpr std::uint16_t pending_full = 1008;
inline constexpr std::uint16_t agent_suspect = 1009;
inline constexpr std::uint16_t reply_dropped = 1010;
inline constexpr std::uint16_t stopping = 1011;
} // namespace balancer_event

/// Catalogue of the balancer's events, ordered by number. Each event except the
/// last is logged at most once a second; its value counts the occurrences since
/// the previous log line.
inline constexpr std::array balancer_events{
    event_description{balancer_event::wrong_port, severity::warning,
        "packet dropped, its service does not match the receiving port; "
        "value: packets"},
    event_description{balancer_event::missing_cookie, severity::warning,
        "packet dropped, it has no cookie; value: packets"},
    event_description{balancer_event::invalid_cookie, severity::warning,
        "packet dropped, its cookie is invalid for this fleet, flow or "
        "service; "
        "value: packets"},
    event_description{balancer_event::domain_out, severity::info,
        "flow reset, its failure domain is out; value: packets"},
    event_description{balancer_event::domains_unknown, severity::warning,
        "packet dropped, the failure domains are not known yet; value: "
        "packets"},
    event_description{balancer_event::unproven_view, severity::info,
        "opening dropped, the view is not proven; value: packets"},
    event_description{balancer_event::unknown_service, severity::warning,
        "opening refused, the service is not in the document; value: packets"},
    event_description{balancer_event::no_candidate, severity::warning,
        "opening refused, no backend server may take it; value: packets"},
    event_description{balancer_event::pending_full, severity::warning,
        "opening not tracked, too many are pending; value: packets"},
    event_description{balancer_event::agent_suspect, severity::warning,
        "agent does not reply to openings, other agents are preferred; value: "
        "agents"},
    event_description{balancer_event::reply_dropped, severity::warning,
        "reply dropped, its service is unknown or its cookie unusable; value: "
        "replies"},
    event_description{balancer_event::stopping, severity::info,
        "stopping; value: deadline in ms"},
};

} // namespace radishspread

#endif
