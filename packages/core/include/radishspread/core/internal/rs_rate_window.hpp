#ifndef RADISHSPREAD_CORE_INTERNAL_RS_RATE_WINDOW_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_RATE_WINDOW_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <deque>

namespace radishspread::internal {

/// Counts events in every sliding window of `length`; unlike a token bucket, it
/// admits no burst on top of the limit at any moment.
class rate_window {
public:
    explicit rate_window(duration length) : length_(length) {}

    /// True, and the event counts, if fewer than `limit` did in the window
    /// that ends now.
    bool admit(instant now, std::size_t limit) {
        expire(now);
        if (times_.size() >= limit)
            return false;
        times_.push_back(now);
        return true;
    }

    /// Events in the window that ends now.
    [[nodiscard]] std::size_t count(instant now) {
        expire(now);
        return times_.size();
    }

    /// Counts an event that was not asked for.
    void add(instant now) {
        expire(now);
        times_.push_back(now);
    }

private:
    void expire(instant now) {
        while (!times_.empty() && now - times_.front() >= length_)
            times_.pop_front();
    }

    duration length_;
    std::deque<instant> times_;
};

} // namespace radishspread::internal

#endif
