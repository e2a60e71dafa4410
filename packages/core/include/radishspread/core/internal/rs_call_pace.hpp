#ifndef RADISHSPREAD_CORE_INTERNAL_RS_CALL_PACE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_CALL_PACE_HPP

#include <radishspread/core/rs_time.hpp>

#include <algorithm>

namespace radishspread::internal {

/// Bounds the rate of calls whatever the other end replies: some at once, then
/// evenly, and ever fewer while replies bring nothing.
class call_pace {
public:
    /// Counts a call; false if it has to wait until `next_at`.
    [[nodiscard]] bool try_take(instant now) {
        auto const elapsed = now - refilled_at_;
        available_ = std::min(available_ + elapsed / interval, burst);
        if (available_ == burst)
            refilled_at_ = now;
        else
            refilled_at_ += elapsed / interval * interval;
        if (available_ == 0)
            return false;
        --available_;
        return true;
    }
    [[nodiscard]] instant next_at() const { return refilled_at_ + interval; }

    void reply_was_useful() { useless_replies_ = 0; }

    /// Records a reply that came early and brought nothing; returns the delay
    /// of the next call. A single such reply may be chance.
    [[nodiscard]] duration delay_after_useless_reply() {
        constexpr unsigned max_doublings = 6;
        if (useless_replies_++ == 0)
            return duration{0};
        return std::min(maximum_delay,
            minimum_delay * (1U << std::min(useless_replies_, max_doublings)));
    }

    static constexpr duration::rep burst = 32;
    static constexpr duration interval = std::chrono::milliseconds(50);
    static constexpr duration minimum_delay = std::chrono::milliseconds(10);
    static constexpr duration maximum_delay = std::chrono::milliseconds(500);

private:
    duration::rep available_ = burst;
    instant refilled_at_;
    unsigned useless_replies_ = 0;
};

} // namespace radishspread::internal

#endif
