#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_RETRY_BUDGET_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_RETRY_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace radishspread::agent_internal {

/// Token bucket that limits retries to a fraction of the successful requests,
/// so that retries cannot multiply the load of a failing backend server.
class retry_budget {
public:
    retry_budget(std::uint32_t max_tokens, double ratio)
        : max_tokens_(max_tokens), ratio_(ratio), tokens_(max_tokens) {}

    /// Adds `ratio` tokens for a successful request, up to the maximum.
    void deposit() { tokens_ = std::min(tokens_ + ratio_, max_tokens_); }

    /// Removes one token for a retry; false if there is none.
    bool try_take() {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double max_tokens_;
    double ratio_;
    double tokens_;
};

} // namespace radishspread::agent_internal

#endif
