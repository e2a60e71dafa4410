#ifndef RADISHSPREAD_CORE_INTERNAL_RS_RATE_WINDOW_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_RATE_WINDOW_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <deque>

namespace radishspread::internal {

/// Counts events in a sliding window of `length`. Unlike a token bucket, it
/// never admits a burst on top of the limit.
class rate_window {
public:
    explicit rate_window(duration length) : length_(length) {}

    /// Counts the event and returns true if the window that ends now holds
    /// fewer than `limit` events; returns false otherwise.
    bool admit(instant now, std::size_t limit) {
        expire(now);
        if (times_.size() >= limit)
            return false;
        times_.push_back(now);
        return true;
    }

    /// Number of events in the window that ends now.
    [[nodiscard]] std::size_t count(instant now) {
        expire(now);
        return times_.size();
    }

    /// Counts an event without checking a limit.
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
