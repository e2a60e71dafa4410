#ifndef RADISHSPREAD_CORE_INTERNAL_RS_BYTE_BUDGET_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_BYTE_BUDGET_HPP

#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <cstddef>

namespace radishspread::internal {

/// Limits the bytes sent in any second. A quarter of them may be sent at once;
/// the rest becomes available evenly, so that a burst is followed by a slower
/// rate and not by a second without messages.
class byte_budget {
public:
    explicit byte_budget(std::size_t bytes_per_second)
        : burst_(static_cast<double>(bytes_per_second) * burst_share),
          refill_per_second_(static_cast<double>(bytes_per_second) - burst_),
          available_(burst_) {}

    /// True if any bytes may be sent.
    [[nodiscard]] bool has_left(instant now) {
        refill(now);
        return available_ > 0;
    }

    /// Counts bytes that are sent, whether or not any are left.
    void take(instant now, std::size_t bytes) {
        refill(now);
        available_ -= static_cast<double>(bytes);
    }

private:
    static constexpr double burst_share = 0.25;

    void refill(instant now) {
        auto const elapsed = std::chrono::duration<double>(now - refilled_at_);
        refilled_at_ = now;
        available_ =
            std::min(burst_, available_ + elapsed.count() * refill_per_second_);
    }

    double burst_;
    double refill_per_second_;
    double available_;
    instant refilled_at_;
};

} // namespace radishspread::internal

#endif
