#ifndef RADISHSPREAD_CORE_INTERNAL_RS_RETRY_TOKENS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_RETRY_TOKENS_HPP

#include <algorithm>

namespace radishspread::internal {

/// Retry budget: limits retries to a fraction of the replies received. If no
/// reply arrives in time because a link or the processes are overloaded,
/// retrying every request would multiply the load.
class retry_tokens {
public:
    void reply_received() {
        tokens_ = std::min(tokens_ + tokens_per_reply, max_tokens);
    }

    /// Uses one token and returns true, or returns false if none is left.
    bool try_take() {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    /// One retry per four replies: more than the openings to one failed agent
    /// out of seven need until that agent is suspect.
    static constexpr double tokens_per_reply = 0.25;
    static constexpr double max_tokens = 20;

    double tokens_ = max_tokens;
};

} // namespace radishspread::internal

#endif
