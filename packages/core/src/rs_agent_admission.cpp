#include <radishspread/core/internal/rs_agent_admission.hpp>

#include <algorithm>

namespace radishspread::agent_internal {

namespace {

/// A starting backend server gets this part of its slots.
constexpr std::uint32_t starting_divisor = 8;
/// The bound grows after this many successes for each slot in use.
constexpr std::uint32_t growth_run = 4;
/// A response that takes this many times the warm mean is slow.
constexpr int slow_factor = 3;
/// Responses below this time are never slow: scheduling noise alone can triple
/// a response time of a few hundred microseconds.
constexpr duration slow_minimum = std::chrono::milliseconds(10);
/// Slow responses in a row that show a cold backend server.
constexpr std::uint32_t cold_run = 2;
/// The warm mean is used only after this many responses.
constexpr std::uint32_t warm_minimum = 16;
/// Weight of one response in a mean is 1 / `smoothing`.
constexpr int smoothing = 16;

duration smooth(duration mean, duration sample) {
    if (mean == duration{0})
        return sample;
    return mean + (sample - mean) / smoothing;
}

} // namespace

void admission::set_slots(std::uint32_t slots) {
    if (slots == slots_)
        return;
    bool const is_first = slots_ == 0;
    bool const is_warm = bound_ >= slots_;
    slots_ = slots;
    if (is_first)
        return start_cold();
    bound_ = is_warm ? slots_ : std::min(bound_, slots_);
}

void admission::set_max_streams(std::uint32_t streams) {
    max_streams_ = streams;
}

void admission::start_cold() {
    slow_run_ = 0;
    bound_ = std::max<std::uint32_t>(1, slots_ / starting_divisor);
    successes_ = 0;
}

void admission::succeeded(instant now, instant sent, duration elapsed) {
    mean_ = smooth(mean_, elapsed);
    if (is_slow(elapsed)) {
        // The sample is capped, so that one outlier moves the mean little, yet
        // a lasting change of the workload becomes the new normal.
        warm_mean_ = smooth(warm_mean_, warm_mean_ * slow_factor);
        halve(now, sent);
        // One slow response may be an outlier. All responses of a cold server
        // are slow, and half of the load is still more than it can handle.
        if (++slow_run_ >= cold_run)
            start_cold();
        return;
    }
    slow_run_ = 0;
    if (bound_ >= slots_) {
        warm_mean_ = smooth(warm_mean_, elapsed);
        warm_samples_ = std::min(warm_samples_ + 1, warm_minimum);
    }
    grow();
}

void admission::failed(instant now, instant sent) {
    halve(now, sent);
}

std::uint32_t admission::bound() const {
    return std::min({bound_, max_streams_, slots_});
}

void admission::halve(instant now, instant sent) {
    successes_ = 0;
    // Requests sent before the last halving report the same overload again.
    if (sent < halved_at_)
        return;
    halved_at_ = now;
    bound_ = std::max<std::uint32_t>(1, bound_ / 2);
}

void admission::grow() {
    if (bound_ >= slots_)
        return;
    if (++successes_ < growth_run * bound_)
        return;
    successes_ = 0;
    ++bound_;
}

bool admission::is_slow(duration elapsed) const {
    bool const is_known = warm_samples_ >= warm_minimum;
    return is_known && elapsed > slow_minimum &&
           elapsed > warm_mean_ * slow_factor;
}

} // namespace radishspread::agent_internal
