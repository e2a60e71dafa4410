#ifndef RADISHSPREAD_CORE_INTERNAL_RS_BACKEND_HEALTH_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_BACKEND_HEALTH_HPP

#include <radishspread/core/rs_time.hpp>

namespace radishspread::internal {

/// Whether a backend server fails many of its requests, from their outcomes on
/// its flows: it may say that it is healthy all the while. One that fails is
/// given an opening now and then, and is used again once most requests succeed.
class backend_health {
public:
    /// Records the outcome of a request.
    void record(instant now, bool is_failure) {
        constexpr double weight = 0.125;
        failure_share_ += ((is_failure ? 1.0 : 0.0) - failure_share_) * weight;
        last_outcome_at_ = now;
        if (failure_share_ >= failing_share)
            is_failing_ = true;
        else if (failure_share_ < recovered_share)
            is_failing_ = false;
    }

    [[nodiscard]] bool is_failing(instant now) const {
        return is_failing_ && now - last_outcome_at_ < outcome_age_limit;
    }

    /// True if a failing backend server may be given an opening as a trial.
    [[nodiscard]] bool take_trial(instant now) {
        if (now < next_trial_at_)
            return false;
        next_trial_at_ = now + trial_interval;
        return true;
    }

    /// Share of failures, of about the last 8 requests, from which on openings
    /// are better placed elsewhere. Callers retry once or twice.
    static constexpr double failing_share = 0.3;
    static constexpr double recovered_share = 0.1;
    /// Nothing is known of a backend server without an outcome for this long.
    static constexpr duration outcome_age_limit = std::chrono::seconds(5);
    static constexpr duration trial_interval = std::chrono::milliseconds(250);

private:
    double failure_share_ = 0;
    bool is_failing_ = false;
    instant last_outcome_at_;
    instant next_trial_at_;
};

} // namespace radishspread::internal

#endif
