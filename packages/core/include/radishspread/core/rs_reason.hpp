#ifndef RADISHSPREAD_CORE_RS_REASON_HPP
#define RADISHSPREAD_CORE_RS_REASON_HPP

#include <cstdint>
#include <string_view>

namespace radishspread {

/// Why a packet, opening or request was refused or a flow reset.
enum class reason : std::uint8_t {
    none,
    unknown_service,   ///< The service is not in the document.
    no_backend_server, ///< No backend server is eligible for the opening.
    overloaded,        ///< Slots, queue or connections are full.
    deadline_exceeded, ///< The deadline passed or cannot be met.
    domain_out,        ///< The failure domain was taken out.
    flow_not_held,     ///< The agent does not hold the flow.
    stale_incarnation, ///< The cookie names an earlier agent incarnation.
    invalid_cookie,    ///< The cookie's tag or service does not match.
    stale_request,     ///< The request id precedes the request window.
    answer_dropped,    ///< The stored answer was dropped.
    backend_refused,   ///< The backend server refused without running it.
    backend_lost,      ///< The connection was lost after dispatch.
    draining,          ///< The process or backend server is leaving.
    unproven_view,     ///< The view is not proven fresh.
    cancelled,         ///< The caller cancelled the request.
};

/// Name of the value, as used in logs and metrics.
[[nodiscard]] std::string_view to_string(reason value);

} // namespace radishspread

#endif
