#ifndef RADISHSPREAD_CORE_INTERNAL_RS_JITTER_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_JITTER_HPP

#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

namespace radishspread::internal {

/// Random delays and choices of one process; equal seeds give equal sequences.
class jitter {
public:
    explicit jitter(std::uint64_t seed) : engine_(seed) {}

    /// Uniform in [0, limit].
    [[nodiscard]] duration up_to(duration limit) {
        std::uniform_int_distribution<duration::rep> spread(
            0, std::max<duration::rep>(limit.count(), 0));
        return duration(spread(engine_));
    }

    /// Exponential backoff with full jitter: uniform from 0 to a limit that
    /// starts at `minimum` and doubles per failure up to `maximum`.
    [[nodiscard]] duration backoff(
        unsigned failures, duration minimum, duration maximum) {
        constexpr unsigned max_doublings = 16;
        auto const doublings = std::min(failures, max_doublings);
        return up_to(std::min<duration>(maximum, minimum * (1LL << doublings)));
    }

    /// Uniform below `n`, which must not be 0.
    [[nodiscard]] std::size_t below(std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
    }

    [[nodiscard]] std::uint64_t next() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace radishspread::internal

#endif
