#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_ADMISSION_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_ADMISSION_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::agent_internal {

/// Limits the number of requests that the backend server runs at the same time.
/// The bound starts low, grows with successes and is halved on failures and
/// slow responses. Two slow responses in a row reset it to the starting bound.
class admission_limiter {
public:
    /// Applies the number of slots from the service's section.
    void set_slots(std::uint32_t slots);
    /// Applies the backend server's limit of HTTP/2 streams.
    void set_max_streams(std::uint32_t streams);
    /// Resets the bound to the starting bound, for a backend server that has
    /// just started or is in use again.
    void reset_bound();

    /// Records that a request dispatched at `sent` succeeded after `elapsed`.
    void succeeded(instant now, instant sent, duration elapsed);
    /// Records that a request dispatched at `sent` failed, was refused or timed
    /// out.
    void failed(instant now, instant sent);

    /// Requests that may be outstanding now; 0 before the first `set_slots`.
    [[nodiscard]] std::uint32_t bound() const;
    [[nodiscard]] std::uint32_t slots() const { return slots_; }
    /// Smoothed response time; 0 before the first response.
    [[nodiscard]] duration mean_response_time() const {
        return mean_response_time_;
    }

private:
    void halve(instant now, instant sent);
    void grow();
    [[nodiscard]] bool is_slow(duration elapsed) const;

    std::uint32_t slots_ = 0;
    std::uint32_t max_streams_ = UINT32_MAX;
    std::uint32_t bound_ = 0;
    std::uint32_t successes_ = 0; ///< Since the bound last changed.
    instant halved_at_;
    duration mean_response_time_{0};
    /// Mean response time while the bound equals the slots.
    duration baseline_mean_{0};
    std::uint32_t baseline_samples_ = 0;
    std::uint32_t consecutive_slow_ = 0; ///< Slow responses in a row.
};

} // namespace radishspread::agent_internal

#endif
