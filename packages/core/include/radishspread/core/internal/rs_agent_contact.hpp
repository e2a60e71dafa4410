#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_CONTACT_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_CONTACT_HPP

#include <radishspread/core/rs_time.hpp>

namespace radishspread::internal {

/// Whether any agent answers a balancer. Answers the load pattern of a balancer
/// that is cut off from all agents while callers still reach it: what they send
/// it is lost until the fabric takes it out of rotation.
class agent_contact {
public:
    /// A question was sent that an agent has to answer.
    void asked(instant now) {
        if (unanswered_++ == 0)
            silent_since_ = now;
    }

    /// Any agent was heard; also after a pause, in which nobody was.
    void heard() { unanswered_ = 0; }

    /// True if several questions were left unanswered for `limit`.
    [[nodiscard]] bool is_lost(instant now, duration limit) const {
        return unanswered_ >= questions_to_be_lost &&
               now - silent_since_ >= limit;
    }

    /// True if a question was left unanswered for `limit`.
    [[nodiscard]] bool is_doubtful(instant now, duration limit) const {
        return unanswered_ > 0 && now - silent_since_ >= limit;
    }

    /// Time since the first question without an answer.
    [[nodiscard]] duration silence(instant now) const {
        return unanswered_ > 0 ? now - silent_since_ : duration{0};
    }

private:
    /// Fewer may be lost datagrams, or questions to one dead agent.
    static constexpr unsigned questions_to_be_lost = 8;

    unsigned unanswered_ = 0;
    instant silent_since_;
};

} // namespace radishspread::internal

#endif
