#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_HPP

#include <radishspread/core/rs_candidate.hpp>
#include <radishspread/core/rs_route_cookie.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::agent_internal {

/// Progress of handing a flow over to another agent.
enum class handover_step : std::uint8_t {
    none,
    querying,  ///< Asked for the target's incarnation; requests still run.
    ready,     ///< The target would take the flow; waits until it is quiet.
    committed, ///< The target may own the flow; requests are held back.
};

/// The giver's side of a handover.
struct handover_out {
    handover_step step = handover_step::none;
    candidate_list targets; ///< Best first.
    std::size_t index = 0;  ///< Target asked now.
    std::uint8_t sends = 0; ///< Messages sent in this step.
    incarnation_id incarnation = 0;
    instant step_since;
    instant next_send; ///< In step `none`: time of the next try.
    bool is_closing = false;
    route_cookie moved_to;

    /// True if the target may own the flow, so nothing may run or be refused.
    [[nodiscard]] bool is_committed() const {
        return step == handover_step::committed;
    }
};

/// The receiver's side of a handover.
struct handover_in {
    endpoint source;           ///< Agent that held the flow before.
    bool is_confirmed = false; ///< The caller has used the new cookie.
    duration moved_interval{0};
    instant next_moved;
};

} // namespace radishspread::agent_internal

#endif
