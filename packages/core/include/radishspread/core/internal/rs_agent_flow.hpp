#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_FLOW_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_FLOW_HPP

#include <radishspread/core/internal/rs_agent_handover.hpp>
#include <radishspread/core/internal/rs_agent_request_record.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_request_window.hpp>

#include <optional>
#include <vector>

namespace radishspread::agent_internal {

/// State of a flow, which determines the owner of its request window.
enum class flow_state : std::uint8_t {
    reserved,    ///< Owned; no packet with the flow's cookie received yet.
    established, ///< Owned by this agent.
    moved,       ///< Owned by another agent, to which packets are forwarded.
};

/// One entry of the flow table.
struct flow_entry {
    flow_key key;
    open_id opening = 0;
    flow_state state = flow_state::reserved;
    bool is_pending = false; ///< Counts as load: first request is expected.
    revision domains_revision = 0; ///< Written into the flow's cookie.
    endpoint reply_to; ///< Balancer that delivered the newest packet.
    instant last_packet;
    request_window window;
    std::vector<request_record> records; ///< At most `window_size`.
    std::uint32_t queued = 0;
    std::uint32_t dispatched = 0;
    handover_out out;
    std::optional<handover_in> in; ///< Set if the flow was taken over.

    /// True if no request of the flow is queued or dispatched.
    [[nodiscard]] bool has_no_active_requests() const {
        return queued == 0 && dispatched == 0;
    }

    [[nodiscard]] request_record* find(request_id id);

    /// Marks `id` as taken, adds its record, and removes the records of ids
    /// that are then older than the window.
    request_record& add(request_id id);

    /// Removes the record of a request that was neither dispatched nor refused
    /// and marks its id as not taken.
    void withdraw(request_id id);
};

} // namespace radishspread::agent_internal

#endif
