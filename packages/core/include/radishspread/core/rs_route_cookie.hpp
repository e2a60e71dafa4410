#ifndef RADISHSPREAD_CORE_RS_ROUTE_COOKIE_HPP
#define RADISHSPREAD_CORE_RS_ROUTE_COOKIE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <compare>
#include <cstdint>

namespace radishspread {

/// Identifies the agent incarnation that holds a flow. Opaque to callers, which
/// echo it in each packet, so that any balancer can route the packet.
struct route_cookie {
    std::uint8_t key_id = 0;
    domain_id domain = 0;
    service_id service = 0;
    endpoint agent;
    incarnation_id incarnation = 0;
    open_id opening = 0;
    /// Revision of `domains` at the agent when it issued the cookie. A process
    /// with an older revision must not reset the flow on the ground that the
    /// failure domain is out.
    revision domains_revision = 0;
    std::uint64_t tag = 0; ///< Keyed hash of the other fields and the flow key.

    friend auto operator<=>(route_cookie const&, route_cookie const&) = default;
};

/// The valid tag of `cookie` for the flow `key`.
[[nodiscard]] std::uint64_t cookie_tag(
    fleet_key const& secret, route_cookie const& cookie, flow_key const& key);

} // namespace radishspread

#endif
