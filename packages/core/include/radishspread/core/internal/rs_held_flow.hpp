#ifndef RADISHSPREAD_CORE_INTERNAL_RS_HELD_FLOW_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_HELD_FLOW_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// State of a flow at the agent's backend server, as far as the agent knows.
enum class held_state : std::uint8_t {
    opening, ///< Opening passed to the backend server; no reply yet.
    replied, ///< The backend server has replied to the opening.
    open,    ///< The caller has acknowledged that reply, or data has passed.
    ended,   ///< Both ends have sent a finish, or one a reset.
    probed,  ///< A packet was sent to the backend server to find out
             ///< whether it holds the flow; no result yet.
    absent,  ///< The backend server returned a packet: it does not
             ///< hold the flow.
};

/// Entry of the agent's flow table.
struct held_flow {
    held_state state = held_state::opening;
    bool is_outstanding = false; ///< A response to the opening or to the
                                 ///< caller's data is pending.
    bool has_failed = false;     ///< The outstanding request counts as failed.
    bool has_data = false;       ///< The caller has sent data.
    bool caller_finished = false;
    bool backend_finished = false;
    bool has_predecessor = false; ///< The caller's port is used again.
    bool has_caller_end = false;  ///< `caller_end` is valid.
    std::uint8_t priority = 0;    ///< Of the outstanding request.
    std::uint32_t caller_end = 0; ///< After the caller's last byte.
    std::uint32_t handshake = 0;  ///< Sequence number of the opening reply.
    endpoint route;               ///< Address that the caller opened.
    endpoint balancer;            ///< Sender of the flow's last packet.
    endpoint notified_balancer;   ///< Last one that was sent `held`.
    instant opened_at;
    instant outstanding_since; ///< Start of `is_outstanding`.
    instant last_packet_at;

    /// Discards what belongs to an earlier flow with the same addresses.
    void start_anew() {
        has_data = false;
        caller_finished = false;
        backend_finished = false;
        has_caller_end = false;
        handshake = 0;
        notified_balancer = {};
    }

    /// True if a packet other than an opening or its reply is a late one of an
    /// earlier flow.
    [[nodiscard]] bool expects_only_reply() const {
        return has_predecessor && state == held_state::opening;
    }

    /// True if the caller has sent no byte up to sequence number `end` before.
    [[nodiscard]] bool is_new_end(std::uint32_t end) const {
        // The signed difference handles wrap-around of sequence numbers.
        return !has_caller_end ||
               static_cast<std::int32_t>(end - caller_end) > 0;
    }

    /// Records the caller's bytes up to sequence number `end`; true if they are
    /// new. A retransmitted request does not count as new: the backend server
    /// may have responded to it already.
    bool record_caller_bytes(std::uint32_t end) {
        bool const is_new = is_new_end(end);
        has_caller_end = true;
        if (is_new)
            caller_end = end;
        return is_new;
    }

    /// True if the packet can belong to the connection opened at this backend
    /// server. Backend servers of two agents may both have replied to the
    /// opening; the caller acknowledges only one of them.
    [[nodiscard]] bool matches(bool acknowledges, std::uint32_t next) const {
        return !acknowledges || next == handshake + 1;
    }
};

} // namespace radishspread::internal

#endif
