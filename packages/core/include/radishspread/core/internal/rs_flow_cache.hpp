#ifndef RADISHSPREAD_CORE_INTERNAL_RS_FLOW_CACHE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_FLOW_CACHE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <unordered_map>

namespace radishspread::internal {

/// The agent to which a balancer sends the packets of a flow.
struct cached_flow {
    endpoint agent;
    /// Sequence number of the opening reply that `agent` forwarded.
    std::uint32_t handshake = 0;
    /// Second agent whose opening reply the caller got, until the caller
    /// acknowledges one of the two.
    endpoint second_agent;
    std::uint32_t second_handshake = 0;
    /// Route version at the last check that the flow's route exists.
    std::uint64_t checked_route_version = 0;
    instant last_packet_at;

    /// Selects the agent whose opening reply the caller acknowledges.
    void select_acknowledged(std::uint32_t acknowledged) {
        if (second_agent.is_set() && acknowledged == second_handshake + 1)
            agent = second_agent;
        second_agent = {};
    }
};

/// Maps flows to the agents that hold them. A lost entry costs a search, never
/// a flow.
using flow_cache =
    std::unordered_map<packet_flow, cached_flow, packet_flow_hash>;

} // namespace radishspread::internal

#endif
