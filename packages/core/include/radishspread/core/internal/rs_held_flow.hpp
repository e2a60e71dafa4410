#ifndef RADISHSPREAD_CORE_INTERNAL_RS_HELD_FLOW_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_HELD_FLOW_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// What an agent knows of a flow at its backend server.
enum class held_state : std::uint8_t {
    opening, ///< The opening was passed on; no reply seen yet.
    offered, ///< The backend server has replied to the opening.
    open,    ///< The caller has acknowledged that reply, or data has passed.
    ended,   ///< Both ends have finished, or one has reset.
    probed,  ///< A packet was tried at the backend server; result unknown.
    absent,  ///< The backend server returned a packet: not held.
};

/// Entry of an agent's flow table.
struct held_flow {
    held_state state = held_state::opening;
    bool is_outstanding = false; ///< The caller's data awaits a response.
    bool has_data = false;       ///< The caller has sent data.
    bool caller_finished = false;
    bool backend_finished = false;
    bool has_caller_end = false;  ///< `caller_end` is known.
    std::uint32_t caller_end = 0; ///< After the caller's last byte seen.
    std::uint32_t handshake = 0;  ///< Sequence number of the opening reply.
    endpoint balancer;            ///< Last one that sent a packet of the flow.
    endpoint notified_balancer;   ///< Last one told that the flow is here.
    instant opened_at;
    instant outstanding_since; ///< Of the opening or data not answered yet.
    instant last_packet;

    /// Notes the caller's bytes up to `end`; true if they are new. A repeated
    /// request is no new one: it may have been answered already.
    bool record_caller_bytes(std::uint32_t end) {
        // Sequence numbers wrap around.
        bool const is_new =
            !has_caller_end || static_cast<std::int32_t>(end - caller_end) > 0;
        has_caller_end = true;
        if (is_new)
            caller_end = end;
        return is_new;
    }

    /// True if the packet can belong to the opening that this agent passed on:
    /// two agents may both have offered the flow, and the caller takes one.
    [[nodiscard]] bool matches(bool acknowledges, std::uint32_t next) const {
        return !acknowledges || next == handshake + 1;
    }
};

} // namespace radishspread::internal

#endif
