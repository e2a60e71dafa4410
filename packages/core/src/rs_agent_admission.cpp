#include <radishspread/core/internal/rs_agent_admission.hpp>

#include <algorithm>

namespace radishspread::agent_internal {

namespace {

/// The starting bound is the number of slots divided by this.
constexpr std::uint32_t starting_divisor = 8;
/// The bound grows by one after this many successes for each slot in it.
constexpr std::uint32_t successes_per_slot = 4;
/// A response that takes longer than this multiple of the baseline mean is
/// slow.
constexpr int slow_factor = 3;
/// Responses up to this time are never slow: scheduling noise alone can triple
/// a response time of a few hundred microseconds.
constexpr duration min_slow_time = std::chrono::milliseconds(10);
/// Consecutive slow responses that indicate a cold backend server and reset the
/// bound.
constexpr std::uint32_t slow_responses_to_reset = 2;
/// The baseline mean is used only after this many responses.
constexpr std::uint32_t min_baseline_samples = 16;
/// The weight of one response in a moving average is 1 / `smoothing`.
constexpr int smoothing = 16;

duration smooth(duration mean, duration sample) {
    if (mean == duration{0})
        return sample;
    return mean + (sample - mean) / smoothing;
}

} // namespace

void admission_limiter::set_slots(std::uint32_t slots) {
    if (slots == slots_)
        return;
    bool const is_first = slots_ == 0;
    bool const is_warm = bound_ >= slots_;
    slots_ = slots;
    if (is_first)
        return reset_bound();
    bound_ = is_warm ? slots_ : std::min(bound_, slots_);
}

void admission_limiter::set_max_streams(std::uint32_t streams) {
    max_streams_ = streams;
}

void admission_limiter::reset_bound() {
    consecutive_slow_ = 0;
    bound_ = std::max<std::uint32_t>(1, slots_ / starting_divisor);
    successes_ = 0;
}

void admission_limiter::succeeded(instant now, instant sent, duration elapsed) {
    mean_response_time_ = smooth(mean_response_time_, elapsed);
    if (is_slow(elapsed)) {
        // The sample is capped, so that one outlier has little effect on the
        // baseline, while a lasting change of the workload still adjusts it.
        baseline_mean_ = smooth(baseline_mean_, baseline_mean_ * slow_factor);
        halve(now, sent);
        // One slow response may be an outlier. If the backend server is cold,
        // all responses are slow and half of the load is still too much.
        if (++consecutive_slow_ >= slow_responses_to_reset)
            reset_bound();
        return;
    }
    consecutive_slow_ = 0;
    if (bound_ >= slots_) {
        baseline_mean_ = smooth(baseline_mean_, elapsed);
        baseline_samples_ =
            std::min(baseline_samples_ + 1, min_baseline_samples);
    }
    grow();
}

void admission_limiter::failed(instant now, instant sent) {
    halve(now, sent);
}

std::uint32_t admission_limiter::bound() const {
    return std::min({bound_, max_streams_, slots_});
}

void admission_limiter::halve(instant now, instant sent) {
    successes_ = 0;
    // Requests sent before the last halving indicate the same overload again.
    if (sent < halved_at_)
        return;
    halved_at_ = now;
    bound_ = std::max<std::uint32_t>(1, bound_ / 2);
}

void admission_limiter::grow() {
    if (bound_ >= slots_)
        return;
    if (++successes_ < successes_per_slot * bound_)
        return;
    successes_ = 0;
    ++bound_;
}

bool admission_limiter::is_slow(duration elapsed) const {
    bool const is_known = baseline_samples_ >= min_baseline_samples;
    return is_known && elapsed > min_slow_time &&
           elapsed > baseline_mean_ * slow_factor;
}

} // namespace radishspread::agent_internal
