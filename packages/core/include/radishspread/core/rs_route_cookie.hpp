#ifndef RADISHSPREAD_CORE_RS_ROUTE_COOKIE_HPP
#define RADISHSPREAD_CORE_RS_ROUTE_COOKIE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <compare>
#include <cstdint>

namespace radishspread {

/// Names the agent incarnation that holds a flow. Opaque to callers, who echo
/// it in each packet, so that any balancer can route the packet.
struct route_cookie {
    std::uint8_t key_id = 0;
    domain_id domain = 0;
    service_id service = 0;
    endpoint agent;
    incarnation_id incarnation = 0;
    open_id opening = 0;
    /// Of the section `domains` at the agent when it made the cookie. A process
    /// that holds an older one must not reset the flow because it believes the
    /// failure domain to be out.
    revision domains_revision = 0;
    std::uint64_t tag = 0; ///< Keyed tag over the other fields and the flow.

    friend auto operator<=>(route_cookie const&, route_cookie const&) = default;
};

/// Tag that `cookie` must carry for the flow `key`.
[[nodiscard]] std::uint64_t cookie_tag(
    fleet_key const& secret, route_cookie const& cookie, flow_key const& key);

} // namespace radishspread

#endif
