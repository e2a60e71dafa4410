#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_LOADS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_LOADS_HPP

#include <radishspread/core/internal/rs_agent_reachability.hpp>
#include <radishspread/core/rs_agent_packet.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <map>

namespace radishspread::internal {

/// What a balancer knows of one agent from its answers.
struct agent_load {
    double in_progress = 0; ///< As last reported, and openings sent since.
    unsigned flows = 0;
    unsigned slots = 0; ///< 0: unknown.
    instant reported_at;
    unsigned consecutive_misses = 0; ///< Openings in a row without an answer.
    instant suspect_until;
    instant unreplied_since;    ///< First question without an answer since.
    unsigned unreplied = 0; ///< Questions since then.
};

/// Load and health of the agents, learned from their answers alone.
class agent_loads {
public:
    explicit agent_loads(duration age_limit) : age_limit_(age_limit) {}

    /// The agent answered: it lives, and has this load.
    void load_reported(instant now, endpoint agent, agent_packet const& answer);
    /// An opening was sent to the agent.
    void opening_sent(instant now, endpoint agent);
    /// A question was sent that the agent has to answer.
    void request_sent(instant now, endpoint agent);
    /// An opening had no answer. True if the agent is passed over from now on.
    bool reply_missed(instant now, endpoint agent, duration mark_suspect);
    void mark_suspect(endpoint agent, instant until);
    /// Something else was heard from the agent.
    void reply_received(endpoint agent);
    /// The process was paused: silence until now says nothing of the agents.
    void clear_unreplied();

    /// Whether any agent answers.
    [[nodiscard]] agent_reachability const& reachability() const { return reachability_; }
    /// Agents in turn, of all that were asked so far; unset if there are none.
    [[nodiscard]] endpoint next_agent();

    /// True if the agent has left several questions unanswered for `limit`.
    [[nodiscard]] bool is_unresponsive(
        instant now, endpoint agent, duration limit) const;
    [[nodiscard]] bool is_suspect(instant now, endpoint agent) const;
    /// Requests in progress for each slot, estimated; `slots` is used if the
    /// agent has not said how many it has.
    [[nodiscard]] double load_per_slot(
        instant now, endpoint agent, unsigned slots) const;
    /// Open flows for each slot.
    [[nodiscard]] double flows_per_slot(endpoint agent, unsigned slots) const;

private:
    duration age_limit_;
    std::map<endpoint, agent_load> loads_;
    agent_reachability reachability_;
    endpoint last_probed_;
};

} // namespace radishspread::internal

#endif
