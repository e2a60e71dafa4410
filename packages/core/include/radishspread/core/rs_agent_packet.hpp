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
    open = 1, ///< To the agent: an opening to take or to decline.
    forward,  ///< To the agent: a packet of a flow that it should hold.
    locate,   ///< To the agent: who holds the flow? Perhaps with a packet.
    held,     ///< To the balancer: the agent holds the flow.
    declined, ///< To the balancer: opening not taken; contains the packet.
    not_held, ///< To the balancer: flow not here; contains the packet.
    leaving,  ///< To the balancer: the agent stops; no openings any more.
    queued,   ///< To the balancer: the opening waits for a free slot.
    list,     ///< To the agent: which flows does it hold?
    listed,   ///< To the balancer: flows that may be here, see `rs_flow_list`.
};

/// Largest value, for decoders.
inline constexpr agent_packet_kind last_agent_packet_kind =
    agent_packet_kind::listed;

/// `agent_packet::cold_rate` of one opening a second.
inline constexpr std::uint16_t cold_rate_units = 16;

/// Message between a balancer and an agent. Fields not named for a kind are 0.
struct agent_packet {
    agent_packet_kind kind = agent_packet_kind::forward;
    /// `declined`; `listed`: `overloaded` if they are too many for a list.
    refusal why = refusal::none;
    /// `open`: to be queued if there is no free slot.
    bool may_queue = false;
    /// `open`: the balancer's view has the backend server as cold.
    bool is_cold = false;
    /// `not_held`: the packet was sent as `locate`; searching again is futile.
    bool is_locate_reply = false;
    /// `locate` without a packet: whoever does not hold the flow says so too.
    bool must_reply = false;
    /// `not_held`, `listed`: of other flows only a packet tried at the backend
    /// server would tell.
    bool is_uncertain = false;
    std::uint32_t service = 0;       ///< `service_tag` of the service.
    std::uint64_t route_version = 0; ///< Newest version of the routes known.
    /// `open`: openings a second that a cold backend server takes, in
    /// `cold_rate_units`.
    std::uint16_t cold_rate = 0;
    /// `held`, `declined`, `queued`: requests at the backend server without a
    /// response, and openings that wait for it.
    std::uint16_t in_progress = 0;
    std::uint16_t slots = 0; ///< Of the backend server; 0 if unknown.
    std::uint16_t flows = 0; ///< `held`, `declined`, `queued`: flows open.
    /// `open`: milliseconds since the caller's first copy.
    std::uint16_t age_ms = 0;
    /// `held`: first sequence number of the backend server, 0 if unknown;
    /// `locate`: what the caller acknowledges; `list`, `listed`: number of the
    /// question.
    std::uint32_t handshake = 0;
    packet_flow flow; ///< Unset for `leaving`, `list` and `listed`.
    std::span<std::byte const> packet; ///< Kinds that contain a packet.
};

} // namespace radishspread

#endif
