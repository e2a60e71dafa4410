#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_FLOW_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_FLOW_HPP

#include <radishspread/core/internal/rs_agent_handover.hpp>
#include <radishspread/core/internal/rs_agent_request_record.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_request_window.hpp>

#include <optional>
#include <vector>

namespace radishspread::agent_internal {

/// Who owns the flow's request window.
enum class flow_state : std::uint8_t {
    reserved,    ///< This agent; the caller has not echoed the cookie yet.
    established, ///< This agent.
    moved,       ///< Another agent, which gets the flow's packets.
};

/// One row of the flow table.
struct flow_entry {
    flow_key key;
    open_id opening = 0;
    flow_state state = flow_state::reserved;
    bool is_pending = false; ///< Reserved so recently that it counts as load.
    revision domains_revision = 0; ///< In the flow's cookie.
    endpoint reply_to; ///< Balancer that delivered the newest packet.
    instant last_packet;
    request_window window;
    std::vector<request_record> records; ///< At most `window_size`.
    std::uint32_t queued = 0;
    std::uint32_t dispatched = 0;
    handover_out out;
    std::optional<handover_in> in; ///< Set if another agent gave the flow.

    /// True if no request of the flow is queued or dispatched.
    [[nodiscard]] bool has_no_active_requests() const {
        return queued == 0 && dispatched == 0;
    }

    [[nodiscard]] request_record* find(request_id id);

    /// Takes `id` and forgets records that fall out of the window.
    request_record& add(request_id id);

    /// Releases the id of a request that was neither dispatched nor refused.
    void withdraw(request_id id);
};

} // namespace radishspread::agent_internal

#endif
