#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_HPP

#include <radishspread/core/rs_candidate.hpp>
#include <radishspread/core/rs_route_cookie.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::agent_internal {

/// Step of the handover of a flow to another agent.
enum class handover_step : std::uint8_t {
    none,
    querying,  ///< Query sent to the target; requests still run.
    ready,     ///< The target accepts; waits until no request is active.
    committed, ///< The target may own the flow; requests are ignored.
};

/// State of a handover at the source agent.
struct handover_out {
    handover_step step = handover_step::none;
    candidate_list targets; ///< In order of preference.
    std::size_t index = 0;  ///< Current target.
    std::uint8_t sends = 0; ///< Messages sent in this step.
    incarnation_id incarnation = 0;
    instant step_since;
    instant next_send; ///< In step `none`: time of the next offer.
    bool is_closing = false;
    route_cookie moved_to;

    /// True if the target may own the flow. This agent must then neither run
    /// nor refuse requests of the flow.
    [[nodiscard]] bool is_committed() const {
        return step == handover_step::committed;
    }
};

/// State of a handover at the target agent.
struct handover_in {
    endpoint source;           ///< Agent that owned the flow before.
    bool is_confirmed = false; ///< The caller has used the new cookie.
    duration moved_interval{0};
    instant next_moved;
};

} // namespace radishspread::agent_internal

#endif
