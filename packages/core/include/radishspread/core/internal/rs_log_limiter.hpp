#ifndef RADISHSPREAD_CORE_INTERNAL_RS_LOG_LIMITER_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_LOG_LIMITER_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// Limits an event to one log line a second and counts the suppressed ones, so
/// that invalid input at line rate does not fill the log.
class log_limiter {
public:
    /// Counts one event. Returns 0 if it is suppressed, else the number of
    /// events since the last one that was not, itself included.
    [[nodiscard]] std::int64_t count(instant now) {
        ++pending_;
        if (now < next_at_)
            return 0;
        next_at_ = now + std::chrono::seconds(1);
        auto const n = pending_;
        pending_ = 0;
        return n;
    }

private:
    instant next_at_;
    std::int64_t pending_ = 0;
};

} // namespace radishspread::internal

#endif
