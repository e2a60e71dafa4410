#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REACHABILITY_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REACHABILITY_HPP

#include <radishspread/core/rs_time.hpp>

namespace radishspread::internal {

/// Whether any agent answers a balancer. Answers the load pattern of a balancer
/// that is cut off from all agents while callers still reach it: what they send
/// it is lost until the fabric takes it out of rotation.
class agent_reachability {
public:
    /// A question was sent that an agent has to answer.
    void request_sent(instant now) {
        if (unreplied_++ == 0)
            unreplied_since_ = now;
    }

    /// Any agent was heard; also after a pause, in which nobody was.
    void reply_received() { unreplied_ = 0; }

    /// True if several questions were left unanswered for `limit`.
    [[nodiscard]] bool none_reachable(instant now, duration limit) const {
        return unreplied_ >= min_unreplied_for_isolation &&
               now - unreplied_since_ >= limit;
    }

    /// True if a question was left unanswered for `limit`.
    [[nodiscard]] bool needs_probe(instant now, duration limit) const {
        return unreplied_ > 0 && now - unreplied_since_ >= limit;
    }

    /// Time since the first question without an answer.
    [[nodiscard]] duration unreplied_time(instant now) const {
        return unreplied_ > 0 ? now - unreplied_since_ : duration{0};
    }

private:
    /// Fewer may be lost datagrams, or questions to one dead agent.
    static constexpr unsigned min_unreplied_for_isolation = 8;

    unsigned unreplied_ = 0;
    instant unreplied_since_;
};

} // namespace radishspread::internal

#endif
