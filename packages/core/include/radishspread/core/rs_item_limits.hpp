#ifndef RADISHSPREAD_CORE_RS_ITEM_LIMITS_HPP
#define RADISHSPREAD_CORE_RS_ITEM_LIMITS_HPP

#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace radishspread {

/// Longest time that an item of the shared configuration can set. Longer times
/// are not meaningful there, and adding them to the clock could overflow.
inline constexpr duration max_item_duration = std::chrono::hours(1);

/// Largest number of slots of a backend server.
inline constexpr std::uint64_t max_slots =
    std::numeric_limits<std::uint16_t>::max();

/// Largest limit of openings per second that an item can set.
inline constexpr double max_openings_per_second = 1e6;

/// Duration of `ms` milliseconds, limited to 0 and `max_item_duration`.
[[nodiscard]] constexpr duration item_duration(double ms) {
    using milliseconds = std::chrono::duration<double, std::milli>;
    constexpr auto max_ms = milliseconds(max_item_duration).count();
    return std::chrono::duration_cast<duration>(
        milliseconds(std::clamp(ms, 0.0, max_ms)));
}

/// `value` limited to what an item can set; 0 means no limit of openings.
[[nodiscard]] constexpr double item_openings_per_second(double value) {
    return std::clamp(value, 0.0, max_openings_per_second);
}

} // namespace radishspread

#endif
