#ifndef RADISHSPREAD_CORE_RS_AGENT_PACKET_HPP
#define RADISHSPREAD_CORE_RS_AGENT_PACKET_HPP

#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_refusal.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread {

/// Kind of a message between a balancer and an agent about a packet flow.
enum class agent_packet_kind : std::uint8_t {
    open = 1, ///< To the agent: an opening to admit or to decline.
    forward,  ///< To the agent: a packet of a flow that it should hold.
    locate,   ///< To the agent: query for the holder of a flow; may
              ///< contain a packet.
    held,     ///< To the balancer: the agent holds the flow.
    declined, ///< To the balancer: opening declined; contains the packet.
    not_held, ///< To the balancer: the agent does not hold the flow; contains
              ///< the packet unless sent in reply to `locate`.
    leaving,  ///< To the balancer: the agent stops and takes no openings.
    queued,   ///< To the balancer: the opening waits for a free slot.
    list,     ///< To the agent: query for all flows that it holds.
    listed,   ///< To the balancer: flows the agent may hold, encoded by
              ///< `encode_flow_list`.
};

/// Largest value, for range checks in decoders.
inline constexpr agent_packet_kind last_agent_packet_kind =
    agent_packet_kind::listed;

/// Value of `agent_packet::cold_rate` for one opening per second.
inline constexpr std::uint16_t cold_rate_units = 16;

/// Value of `agent_packet::urgent` if the sender does not report it.
inline constexpr std::uint16_t unknown_urgent = 0xffff;

/// Bytes of a message on the link besides its packet: 44 of the message itself,
/// 28 of UDP and IP.
inline constexpr std::size_t message_overhead = 72;

/// Message between a balancer and an agent. Fields that do not apply to a kind
/// are 0.
struct agent_packet {
    agent_packet_kind kind = agent_packet_kind::forward;
    /// `declined`, `not_held`: the reason; `listed`: `overloaded` if there are
    /// too many flows for one list.
    refusal why = refusal::none;
    /// `open`: the agent may queue the opening if there is no free slot.
    bool may_queue = false;
    /// `open`: all agents of the service have a backlog, as far as the balancer
    /// knows.
    bool is_service_full = false;
    /// `open`: the backend server is cold according to the balancer's view.
    bool is_cold = false;
    /// `not_held`: reply to `locate`; the balancer is searching already, so the
    /// reply starts no new search.
    bool is_locate_reply = false;
    /// `locate` without a packet: agents that do not hold the flow reply too.
    bool must_reply = false;
    /// `not_held`, `listed`: the backend server may hold flows that the agent
    /// does not know; only a probe with a packet shows whether it does.
    bool is_uncertain = false;
    /// `list`, `listed`: only flows whose route names another service by now.
    bool is_of_reassigned = false;
    /// `name_tag` of the service of the agent's backend server: to the agent,
    /// as the balancer knows it; in a reply that rejects a flow or lists flows,
    /// as in the query.
    std::uint32_t service = 0;
    std::uint64_t route_version = 0; ///< Newest known to the sender.
    /// `open`: limit of openings per second at a cold backend server, in units
    /// of 1/`cold_rate_units`; 0: no limit.
    std::uint16_t cold_rate = 0;
    /// `held`, `declined`, `queued`: requests at the backend server without a
    /// response, plus queued openings.
    std::uint16_t in_progress = 0;
    /// `held`, `declined`, `queued`: those of `in_progress` that are at least
    /// as urgent as the flow's route.
    std::uint16_t urgent = unknown_urgent;
    std::uint16_t slots = 0; ///< Of the backend server; 0 if unknown.
    std::uint16_t flows = 0; ///< `held`, `declined`, `queued`: open flows.
    /// `open`: milliseconds since the caller's first copy.
    std::uint16_t age_ms = 0;
    /// `held`: initial sequence number of the backend server, 0 if unknown;
    /// `locate`: sequence number that the caller acknowledges; `list`,
    /// `listed`: number of the query.
    std::uint32_t handshake = 0;
    packet_flow flow; ///< Unset for `leaving`, `list` and `listed`.
    std::span<std::byte const> packet; ///< Packet or list of flows.
};

} // namespace radishspread

#endif
