#ifndef RADISHSPREAD_CORE_RS_REFUSAL_HPP
#define RADISHSPREAD_CORE_RS_REFUSAL_HPP

#include <cstdint>
#include <string_view>

namespace radishspread {

/// Reason why a packet flow was not opened or not found.
enum class refusal : std::uint8_t {
    none,
    unknown_route,   ///< The address has no route to a service.
    no_candidate,    ///< No backend server of the service is eligible.
    other_service,   ///< The agent serves another service.
    stale_view,      ///< The routes are outdated; agents no longer send it.
    draining,        ///< The backend server or its agent is leaving.
    domain_out,      ///< The failure domain was taken out of service.
    warming_up,      ///< The cold backend server reached its rate limit.
    overloaded,      ///< No free slot.
    backend_refused, ///< The backend server returned the opening.
    unresponsive,    ///< The backend server does not reply to openings.
    not_held,        ///< The backend server does not hold the flow.
    unproven_view,   ///< This process has no routes in effect yet.
    unanswered,      ///< No agent replied in time.
    failing,         ///< The backend server fails many requests.
};

/// Largest value, for range checks in decoders.
inline constexpr refusal last_refusal = refusal::failing;

/// Name of the value, as used in logs and metrics.
[[nodiscard]] std::string_view to_string(refusal value);

} // namespace radishspread

#endif
