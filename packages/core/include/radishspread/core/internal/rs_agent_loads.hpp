#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_LOADS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_LOADS_HPP

#include <radishspread/core/internal/rs_agent_contact.hpp>
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
    unsigned strikes = 0; ///< Openings in a row without an answer.
    instant passed_over_until;
    instant silent_since;    ///< First question without an answer since.
    unsigned unanswered = 0; ///< Questions since then.
};

/// Load and health of the agents, learned from their answers alone.
class agent_loads {
public:
    explicit agent_loads(duration age_limit) : age_limit_(age_limit) {}

    /// The agent answered: it lives, and has this load.
    void report(instant now, endpoint agent, agent_packet const& answer);
    /// An opening was sent to the agent.
    void sent(instant now, endpoint agent);
    /// A question was sent that the agent has to answer.
    void asked(instant now, endpoint agent);
    /// An opening had no answer. True if the agent is passed over from now on.
    bool missed(instant now, endpoint agent, duration pass_over);
    void pass_over(endpoint agent, instant until);
    /// Something else was heard from the agent.
    void heard(endpoint agent);
    /// The process was paused: silence until now says nothing of the agents.
    void forget_silence();

    /// Whether any agent answers.
    [[nodiscard]] agent_contact const& contact() const { return contact_; }
    /// Agents in turn, of all that were asked so far; unset if there are none.
    [[nodiscard]] endpoint next_agent();

    /// True if the agent has left several questions unanswered for `limit`.
    [[nodiscard]] bool is_silent(
        instant now, endpoint agent, duration limit) const;
    [[nodiscard]] bool is_passed_over(instant now, endpoint agent) const;
    /// Requests in progress for each slot, estimated; `slots` is used if the
    /// agent has not said how many it has.
    [[nodiscard]] double share(
        instant now, endpoint agent, unsigned slots) const;
    /// Open flows for each slot.
    [[nodiscard]] double flow_share(endpoint agent, unsigned slots) const;

private:
    duration age_limit_;
    std::map<endpoint, agent_load> loads_;
    agent_contact contact_;
    endpoint last_in_turn_;
};

} // namespace radishspread::internal

#endif
