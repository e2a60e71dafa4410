#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REACHABILITY_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REACHABILITY_HPP

#include <radishspread/core/rs_time.hpp>

namespace radishspread::internal {

/// Detects that a balancer can reach no agent. An isolated balancer still
/// receives packets of callers, and they are lost until the fabric takes the
/// balancer out of rotation.
class agent_reachability {
public:
    /// Records a request that requires a reply from an agent.
    void request_sent(instant now) {
        if (unreplied_++ == 0)
            unreplied_since_ = now;
    }

    /// Records a message from any agent. Also called after a pause of the
    /// process, during which nothing could be received.
    void reply_received() { unreplied_ = 0; }

    /// True if several requests in a row have had no reply and the first of
    /// them was sent at least `limit` ago.
    [[nodiscard]] bool none_reachable(instant now, duration limit) const {
        return unreplied_ >= min_unreplied_for_isolation &&
               now - unreplied_since_ >= limit;
    }

    /// True if at least one request has had no reply for `limit`.
    [[nodiscard]] bool needs_check(instant now, duration limit) const {
        return unreplied_ > 0 && now - unreplied_since_ >= limit;
    }

    /// Time since the first request without a reply; 0 if there is none.
    [[nodiscard]] duration unreplied_time(instant now) const {
        return unreplied_ > 0 ? now - unreplied_since_ : duration{0};
    }

private:
    /// Fewer missing replies may be lost datagrams, or requests to one failed
    /// agent.
    static constexpr unsigned min_unreplied_for_isolation = 8;

    unsigned unreplied_ = 0;
    instant unreplied_since_;
};

} // namespace radishspread::internal

#endif
