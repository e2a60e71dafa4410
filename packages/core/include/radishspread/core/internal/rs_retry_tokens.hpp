#ifndef RADISHSPREAD_CORE_INTERNAL_RS_RETRY_TOKENS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_RETRY_TOKENS_HPP

#include <algorithm>

namespace radishspread::internal {

/// Bounds repeated calls to a share of the answered ones. Answers the load
/// pattern in which nobody answers in time, because a link or the processes are
/// overloaded: repeating every call then multiplies the load.
class retry_tokens {
public:
    void reply_received() { tokens_ = std::min(tokens_ + tokens_per_reply, max_tokens); }

    /// True, and one token is used, if there is one.
    bool try_take() {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    /// One repetition for four answers: more than one dead agent of seven needs
    /// until it is passed over.
    static constexpr double tokens_per_reply = 0.25;
    static constexpr double max_tokens = 20;

    double tokens_ = max_tokens;
};

} // namespace radishspread::internal

#endif
