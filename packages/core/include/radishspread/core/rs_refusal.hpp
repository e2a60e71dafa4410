#ifndef RADISHSPREAD_CORE_RS_REFUSAL_HPP
#define RADISHSPREAD_CORE_RS_REFUSAL_HPP

#include <cstdint>
#include <string_view>

namespace radishspread {

/// Why a flow of packets was not opened, or not found.
enum class refusal : std::uint8_t {
    none,
    unknown_route,   ///< No route leads from the address to a service.
    no_candidate,    ///< No backend server of the service may take openings.
    other_service,   ///< The agent serves another service.
    stale_view,      ///< The balancer's routes are older than those seen here.
    draining,        ///< The backend server or its agent is leaving.
    domain_out,      ///< The failure domain was taken out.
    warming_up,      ///< The cold backend server had its share of this second.
    overloaded,      ///< No free slot.
    backend_refused, ///< The backend server returned the opening.
    unresponsive,    ///< The backend server does not answer openings.
    not_held,        ///< The backend server does not hold the flow.
    unproven_view,   ///< This process has no routes in effect yet.
    unanswered,      ///< No agent answered in time.
};

/// Largest value, for decoders.
inline constexpr refusal last_refusal = refusal::unanswered;

/// Name of the value, as used in logs and metrics.
[[nodiscard]] std::string_view to_string(refusal value);

} // namespace radishspread

#endif
