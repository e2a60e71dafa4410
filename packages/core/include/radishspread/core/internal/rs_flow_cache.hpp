#ifndef RADISHSPREAD_CORE_INTERNAL_RS_FLOW_CACHE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_FLOW_CACHE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <unordered_map>

namespace radishspread::internal {

/// An agent that holds a flow.
struct flow_holder {
    endpoint agent;
    /// Service of its backend server. The flow's route may name another one by
    /// now, which concerns new flows only.
    std::uint32_t service = 0;
    /// Sequence number of the opening reply that it forwarded; 0 if unknown.
    std::uint32_t handshake = 0;
};

/// The agent to which a balancer sends the packets of a flow.
struct cached_flow {
    flow_holder holder;
    /// Second agent whose opening reply the caller got, until the caller
    /// acknowledges one of the two.
    flow_holder second_holder;
    /// Route version at the last check that the flow's route exists.
    std::uint64_t checked_route_version = 0;
    instant last_packet_at;

    /// Selects the agent whose opening reply the caller acknowledges.
    void select_acknowledged(std::uint32_t acknowledged) {
        if (second_holder.agent.is_set() &&
            acknowledged == second_holder.handshake + 1)
            holder = second_holder;
        second_holder = {};
    }
};

/// Maps flows to the agents that hold them. A lost entry costs a search, never
/// a flow.
using flow_cache =
    std::unordered_map<packet_flow, cached_flow, packet_flow_hash>;

} // namespace radishspread::internal

#endif
