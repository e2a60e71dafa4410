#ifndef RADISHSPREAD_CORE_RS_FORWARD_HPP
#define RADISHSPREAD_CORE_RS_FORWARD_HPP

#include <radishspread/core/rs_caller_packet.hpp>
#include <radishspread/core/rs_candidate.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_stamp.hpp>

#include <cstdint>

namespace radishspread {

/// A caller's packet, forwarded from a balancer to an agent, or between agents
/// when an opening is passed on or a flow has been handed over.
struct forward {
    stamp origin; ///< The process that sent this datagram.
    endpoint caller;
    endpoint reply_to;        ///< Peer endpoint of the balancer to reply to.
    std::uint8_t passes = 0;  ///< Number of agents that passed the packet on.
    bool must_accept = false; ///< The receiver had the least load of all.
    std::uint16_t least_load = 0xffff; ///< Least load in 1/1000 of the limit.
    std::uint8_t least_index = 0;      ///< Index of that agent in `candidates`.
    candidate_list candidates;         ///< Only for openings.
    caller_packet packet;
};

} // namespace radishspread

#endif
