#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_ADMISSION_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_ADMISSION_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::agent_internal {

/// How many requests the backend server may run at the same time. The bound
/// starts low, grows with successes and is halved by signs of overload. Two
/// slow responses in a row set it back to the starting bound.
class admission_limiter {
public:
    /// Applies the slots of the document.
    void set_slots(std::uint32_t slots);
    /// Applies the backend server's limit of HTTP/2 streams.
    void set_max_streams(std::uint32_t streams);
    /// The backend server has just started or come back.
    void reset_bound();

    /// A request dispatched at `sent` succeeded after `elapsed`.
    void succeeded(instant now, instant sent, duration elapsed);
    /// A request dispatched at `sent` failed, was refused or timed out.
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
    duration baseline_mean_{0};
    std::uint32_t baseline_samples_ = 0;
    std::uint32_t consecutive_slow_ = 0; ///< Slow responses in a row.
};

} // namespace radishspread::agent_internal

#endif
