#include <radishspread/core/internal/rs_opening_cost.hpp>

#include <algorithm>
#include <cmath>

namespace radishspread::internal {

bool is_timely(opening_cost const& it, instant now) {
    return now - it.first_sent_at + it.work <= it.goal;
}

double worth_per_second(opening_cost const& it, instant now) {
    // Estimates below this differ by chance.
    constexpr duration min_work = std::chrono::milliseconds(1);
    auto const share = it.is_over_share ? over_share_worth : 1.0;
    auto const worth = std::ldexp(
        is_timely(it, now) ? share : late_worth * share, -it.priority);
    std::chrono::duration<double> const work = std::max(it.work, min_work);
    return worth / work.count();
}

bool is_served_before(
    opening_cost const& a, opening_cost const& b, instant now) {
    auto const a_worth = worth_per_second(a, now);
    auto const b_worth = worth_per_second(b, now);
    if (a_worth != b_worth)
        return a_worth > b_worth;
    bool const a_is_timely = is_timely(a, now);
    if (a_is_timely != is_timely(b, now))
        return a_is_timely;
    return a_is_timely ? a.first_sent_at > b.first_sent_at
                       : a.first_sent_at < b.first_sent_at;
}

} // namespace radishspread::internal
