#ifndef RADISHSPREAD_CORE_INTERNAL_RS_OPENING_COST_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_OPENING_COST_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// What decides how much a caller loses if its opening waits or is refused.
struct opening_cost {
    instant first_sent_at;     ///< When the caller sent its first copy.
    duration goal{0};          ///< Response-time goal of the route.
    duration work{0};          ///< Time for which it occupies a slot.
    std::uint8_t priority = 0; ///< 0 is the most urgent.
    /// Its client account has more openings waiting than its share.
    bool is_over_share = false;
};

/// Share of its worth that a response has after its goal: callers still use it,
/// but have waited.
inline constexpr double late_worth = 0.3;

/// Share of its worth that an opening counts beyond the share of its client
/// account: less than that of another account's late one.
inline constexpr double over_share_worth = 0.25;

/// True if the response can meet its goal if the opening is served now.
[[nodiscard]] bool is_timely(opening_cost const& it, instant now);

/// What callers gain for each second of a slot if the opening is served now. A
/// request of priority 0 within its goal is worth 1, and one of each further
/// priority half as much.
[[nodiscard]] double worth_per_second(opening_cost const& it, instant now);

/// True if `a` is served before `b`: the one that is worth more for the time
/// that it takes. Of equal openings that can meet their goal, the newest leaves
/// the most time for a slow response; of the late ones, the oldest is abandoned
/// soonest.
[[nodiscard]] bool is_served_before(
    opening_cost const& a, opening_cost const& b, instant now);

} // namespace radishspread::internal

#endif
