#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_LOADS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_LOADS_HPP

#include <radishspread/core/internal/rs_agent_reachability.hpp>
#include <radishspread/core/rs_agent_packet.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace radishspread::internal {

/// Load and health of one agent, taken from its replies.
struct agent_load {
    /// Priorities that are told apart; less urgent ones count as the last.
    static constexpr std::size_t priorities = 4;
    /// Requests that are at least as urgent as a priority.
    struct urgent_report {
        double requests = 0; ///< Last reported, plus openings sent since.
        instant reported_at;
    };

    double in_progress = 0; ///< Last reported, plus openings sent since.
    std::array<urgent_report, priorities> urgent;
    unsigned flows = 0;
    unsigned slots = 0; ///< 0: unknown.
    instant reported_at;
    unsigned consecutive_misses = 0; ///< Openings in a row without a reply.
    instant suspect_until;
    instant failing_until;   ///< Its backend server fails many requests.
    instant unreplied_since; ///< Time of the first unreplied request.
    unsigned unreplied = 0;  ///< Requests since then; a burst counts as one.
    instant last_counted_at; ///< Time of the last request in `unreplied`.
    instant uncertain_until; ///< Its flow table may be incomplete until then.
};

/// Load and health of the agents. The only source is their replies.
class agent_loads {
public:
    /// Load reports are ignored after `age_limit`. While no agent has replied
    /// for `isolation_timeout`, missing replies count for no single agent.
    agent_loads(duration age_limit, duration isolation_timeout)
        : age_limit_(age_limit), isolation_timeout_(isolation_timeout) {}

    /// Records a reply, about a flow of this priority, that carries the load of
    /// the agent.
    void load_reported(instant now, endpoint agent, agent_packet const& reply,
        std::uint8_t priority = 0);
    /// Records an opening sent to the agent.
    void opening_sent(instant now, endpoint agent);
    /// Records a request that the agent must reply to.
    void request_sent(instant now, endpoint agent);
    /// Records an opening without a reply. Returns true if this makes the agent
    /// suspect, for the time `suspect_time`.
    bool reply_missed(instant now, endpoint agent, duration suspect_time);
    void mark_suspect(endpoint agent, instant until);
    /// Records a reply that carries no load.
    void reply_received(instant now, endpoint agent);
    /// Records whether the agent's flow table may be incomplete.
    void certainty_reported(instant now, endpoint agent, bool is_uncertain);
    /// Discards the records of missing replies after a pause of the process,
    /// which could receive none in that time.
    void clear_unreplied();

    /// Whether any agent can be reached.
    [[nodiscard]] agent_reachability const& reachability() const {
        return reachability_;
    }
    /// True if several requests in a row to the agent have had no reply and the
    /// first of them was sent at least `limit` ago.
    [[nodiscard]] bool is_unresponsive(
        instant now, endpoint agent, duration limit) const;
    [[nodiscard]] bool is_suspect(instant now, endpoint agent) const;
    /// Records that the backend server of the agent fails many requests, which
    /// is assumed for `time`. True if it was not assumed before.
    bool failing_reported(instant now, endpoint agent, duration time);
    [[nodiscard]] bool is_failing(instant now, endpoint agent) const;
    [[nodiscard]] std::size_t count_failing(instant now) const;
    /// True if the agent has recently reported that its flow table may be
    /// incomplete.
    [[nodiscard]] bool is_uncertain(instant now, endpoint agent) const;
    /// Estimated requests in progress per slot; 0 if the last report is too
    /// old. `slots` is used if the agent has not reported its number of slots.
    [[nodiscard]] double load_per_slot(
        instant now, endpoint agent, unsigned slots) const;
    /// Of these, the requests that are at least as urgent as `priority`; all if
    /// the agent has not reported them lately.
    [[nodiscard]] double urgent_per_slot(instant now, endpoint agent,
        unsigned slots, std::uint8_t priority) const;
    /// Open flows per slot.
    [[nodiscard]] double flows_per_slot(endpoint agent, unsigned slots) const;

private:
    duration age_limit_;
    duration isolation_timeout_;
    std::map<endpoint, agent_load> loads_;
    agent_reachability reachability_;
};

} // namespace radishspread::internal

#endif
