#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_STATE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_STATE_HPP

#include <radishspread/core/internal/rs_agent_admission.hpp>
#include <radishspread/core/internal/rs_agent_answers.hpp>
#include <radishspread/core/internal/rs_agent_connections.hpp>
#include <radishspread/core/internal/rs_agent_dispatches.hpp>
#include <radishspread/core/internal/rs_agent_flow_table.hpp>
#include <radishspread/core/internal/rs_agent_handover_decisions.hpp>
#include <radishspread/core/internal/rs_agent_queue.hpp>
#include <radishspread/core/internal/rs_agent_retry_budget.hpp>
#include <radishspread/core/internal/rs_log_limiter.hpp>
#include <radishspread/core/rs_agent_events.hpp>
#include <radishspread/core/rs_agent_options.hpp>
#include <radishspread/core/rs_document.hpp>

#include <array>
#include <map>

namespace radishspread::agent_internal {

/// Tables of an agent, and the decisions on them that need no sink.
struct agent_state {
    explicit agent_state(agent_options it);

    agent_options options;
    document view;
    flow_table flows;
    stored_answers answers;
    request_queue queue;
    dispatch_table dispatches;
    connection_table connections;
    admission_limiter limiter;
    retry_budget retries;
    handover_decision_table handover_decisions;
    std::array<internal::log_limiter, agent_event::count> log_limits;

    /// Answers that are being sent, with the offset of the next part in bytes.
    std::map<request_key, std::uint32_t> transfers;
    request_key last_transfer;

    // From this backend server's entry in the service's section. The last known
    // values stay in effect after the entry is removed.
    std::string name;
    std::uint32_t max_flows = 0;
    bool is_listed = false;
    bool is_draining = false;

    bool was_out = false;
    bool was_proven = false;
    instant unproven_since;
    instant disconnected_since;
    bool is_next_connection_cold = true; ///< It resets the admission bound.
    bool was_leaving = false;
    instant leaving_since;
    bool is_stopping = false;
    instant stop_deadline;
    instant linger_until; ///< Packets of moved flows may arrive until then.

    /// Updates the state from the sections in effect and the proof of the view.
    void refresh(instant now);

    [[nodiscard]] bool is_out() const;
    [[nodiscard]] bool may_dispatch(instant now) const;
    /// True if no connection to the backend server has been open for
    /// `disconnected_limit`.
    [[nodiscard]] bool is_backend_unreachable(instant now);
    /// True if the agent has to hand its flows over to other agents.
    [[nodiscard]] bool is_leaving(instant now);
    /// Reason for which no flow may be added, or `none`.
    [[nodiscard]] reason flow_refusal_reason();

    /// Number of slots that are occupied or will be needed soon: requests
    /// dispatched and queued, and reservations that wait for a first request.
    [[nodiscard]] std::size_t demand() const;
    /// `demand` in 1/1000 of the admission bound.
    [[nodiscard]] std::uint16_t load() const;
    [[nodiscard]] std::size_t max_queued() const;
    /// Estimated time until a request that is queued now gets a slot.
    [[nodiscard]] duration expected_wait() const;

    [[nodiscard]] route_cookie make_cookie(flow_entry const& it) const;
    /// Sets the key id and the authentication tag of a cookie of the flow
    /// `key`.
    [[nodiscard]] route_cookie sign(
        route_cookie cookie, flow_key const& key) const;
    [[nodiscard]] bool has_valid_tag(
        route_cookie const& cookie, flow_key const& key) const;
    /// Agents that could take over the flow `key`, best first.
    [[nodiscard]] candidate_list choose_targets(flow_key const& key) const;

private:
    void refresh_entry();
};

/// Context of one call of the core: the state, the time, and the sink that
/// executes the actions.
template <class Sink> struct agent_call {
    agent_state& state;
    instant now;
    Sink& sink;
};

} // namespace radishspread::agent_internal

#endif
