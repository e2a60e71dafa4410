#ifndef RADISHSPREAD_CORE_RS_CALL_BUDGET_HPP
#define RADISHSPREAD_CORE_RS_CALL_BUDGET_HPP

#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <cstddef>

namespace radishspread {

/// Limits the calls started in any second. Half of them may be started at once;
/// the rest becomes available evenly.
class call_budget {
public:
    explicit call_budget(double calls_per_second) {
        set_limit(calls_per_second);
        available_ = burst_;
    }

    /// Calls that one of `processes` may start in a second if all share
    /// `reads_per_second`. Leaves as much again for processes that are not
    /// known yet and for other users of the service.
    [[nodiscard]] static double share(
        double reads_per_second, std::size_t processes) {
        constexpr double minimum = 40;
        auto const users = 2 * std::max<std::size_t>(processes, 1);
        return std::max(minimum, reads_per_second / static_cast<double>(users));
    }

    void set_limit(double calls_per_second) {
        burst_ = std::max(1.0, calls_per_second / 2);
        refill_per_second_ = calls_per_second / 2;
        available_ = std::min(available_, burst_);
    }

    /// True if a call may start.
    [[nodiscard]] bool has_left(instant now) const {
        return available_at(now) >= 1;
    }

    /// Counts a call that is started.
    void take(instant now) {
        available_ = available_at(now) - 1;
        refilled_at_ = now;
    }

    /// Time at which a call may start.
    [[nodiscard]] instant next_at() const {
        if (available_ >= 1)
            return refilled_at_;
        auto const missing = std::chrono::duration<double>(
            (1 - available_) / refill_per_second_);
        return refilled_at_ + std::chrono::duration_cast<duration>(missing) +
               duration(1);
    }

private:
    [[nodiscard]] double available_at(instant now) const {
        auto const elapsed = std::chrono::duration<double>(now - refilled_at_);
        return std::min(
            burst_, available_ + elapsed.count() * refill_per_second_);
    }

    double burst_ = 1;
    double refill_per_second_ = 1;
    double available_ = 0;
    instant refilled_at_;
};

} // namespace radishspread

#endif
