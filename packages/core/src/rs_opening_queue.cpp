#include <radishspread/core/internal/rs_opening_queue.hpp>

#include <algorithm>
#include <utility>

namespace radishspread::internal {

namespace {

/// True if `a` is served before `b`.
bool is_served_before(queued_opening const& a, queued_opening const& b,
    instant now, duration service) {
    auto const is_timely = [&](queued_opening const& it) {
        return now - it.first_sent_at + service <= it.goal;
    };
    bool const a_is_timely = is_timely(a);
    if (a_is_timely != is_timely(b))
        return a_is_timely;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    // Of the openings that can meet their goal, the newest leaves the most time
    // for a slow response; of the late ones, the oldest is abandoned soonest.
    return a_is_timely ? a.first_sent_at > b.first_sent_at
                       : a.first_sent_at < b.first_sent_at;
}

} // namespace

// The wait follows from the order of service, not from the length of the queue:
// behind a long backlog, a new opening is still served next.
bool opening_queue::push(
    instant now, queued_opening opening, duration service, std::size_t slots) {
    auto const ahead =
        std::count_if(waiting_.begin(), waiting_.end(), [&](auto const& it) {
            return !is_served_before(opening, it, now, service);
        });
    auto const wait =
        service * (ahead + 1) /
        static_cast<duration::rep>(std::max<std::size_t>(slots, 1));
    bool const is_too_late =
        now - opening.first_sent_at + wait >= opening_age_limit_;
    if (waiting_.size() >= max_size || is_too_late)
        return false;
    waiting_.push_back(std::move(opening));
    return true;
}

std::optional<queued_opening> opening_queue::pop(
    instant now, duration service) {
    auto const first = std::min_element(
        waiting_.begin(), waiting_.end(), [&](auto const& a, auto const& b) {
            return is_served_before(a, b, now, service);
        });
    return take(first);
}

std::optional<queued_opening> opening_queue::pop_expired(instant now) {
    return take(
        std::find_if(waiting_.begin(), waiting_.end(), [&](auto const& it) {
            return now - it.first_sent_at >= opening_age_limit_;
        }));
}

std::optional<queued_opening> opening_queue::take(
    std::vector<queued_opening>::iterator it) {
    if (it == waiting_.end())
        return std::nullopt;
    std::optional<queued_opening> out(std::move(*it));
    waiting_.erase(it);
    return out;
}

bool opening_queue::contains(packet_flow const& flow) const {
    return std::any_of(waiting_.begin(), waiting_.end(),
        [&](auto const& it) { return it.message.flow == flow; });
}

} // namespace radishspread::internal
