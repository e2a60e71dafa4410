#ifndef RADISHSPREAD_CORE_INTERNAL_RS_FLOW_CACHE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_FLOW_CACHE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <unordered_map>

namespace radishspread::internal {

/// Where a balancer sends the packets of a flow.
struct cached_flow {
    endpoint agent;
    std::uint32_t handshake = 0; ///< Of the opening reply at `agent`.
    /// Second agent that offered the flow, until the caller has taken one.
    endpoint second_agent;
    std::uint32_t second_handshake = 0;
    std::uint64_t checked_route_version = 0; ///< Routes under which it is allowed.
    instant last_packet_at;

    /// Settles on the agent whose offer the caller acknowledges.
    void choose_offer(std::uint32_t acknowledged) {
        if (second_agent.is_set() && acknowledged == second_handshake + 1)
            agent = second_agent;
        second_agent = {};
    }
};

/// Cache of the holders of flows. Losing an entry costs a search, never a flow.
using flow_cache =
    std::unordered_map<packet_flow, cached_flow, packet_flow_hash>;

} // namespace radishspread::internal

#endif
