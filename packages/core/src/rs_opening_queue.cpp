#include <radishspread/core/internal/rs_opening_queue.hpp>

#include <algorithm>
#include <utility>

namespace radishspread::internal {

namespace {

std::uint32_t account_of(queued_opening const& it) {
    return it.message.flow.caller.address;
}

duration share_of_slots(duration work, std::size_t slots) {
    return work / static_cast<duration::rep>(std::max<std::size_t>(slots, 1));
}

} // namespace

// The wait follows from the order of service, not from the length of the queue:
// behind a long backlog, a new opening is still served next.
duration opening_queue::wait_of(
    instant now, opening_cost const& cost, std::size_t slots) const {
    auto work = cost.work;
    for (auto const& it : waiting_)
        if (!is_served_before(cost, it.cost, now))
            work += it.cost.work;
    return share_of_slots(work, slots);
}

// Accounts are counted anew each time, so nothing has to be kept about callers
// and the queue's own limit bounds the work.
bool opening_queue::has_full_share(std::uint32_t account) const {
    auto const own =
        static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(),
            [&](auto const& it) { return account_of(it) == account; }));
    if (own < min_share)
        return false;
    std::vector<std::uint32_t> accounts;
    accounts.reserve(waiting_.size());
    for (auto const& it : waiting_)
        accounts.push_back(account_of(it));
    std::sort(accounts.begin(), accounts.end());
    auto const end = std::unique(accounts.begin(), accounts.end());
    auto const count = static_cast<std::size_t>(end - accounts.begin());
    return own * count > waiting_.size();
}

push_result opening_queue::push(
    instant now, queued_opening opening, std::size_t slots) {
    opening.cost.is_over_share = has_full_share(account_of(opening));
    if (is_too_late(now, opening.cost, wait_of(now, opening.cost, slots)))
        return {};
    push_result out{
        .is_queued = true, .is_over_share = opening.cost.is_over_share};
    if (waiting_.size() >= max_size) {
        auto const last = std::max_element(waiting_.begin(), waiting_.end(),
            [&](auto const& a, auto const& b) {
                return is_served_before(a.cost, b.cost, now);
            });
        if (!is_served_before(opening.cost, last->cost, now))
            return {};
        out.displaced = take(last);
    }
    opening.queued_at = now;
    waiting_.push_back(std::move(opening));
    return out;
}

std::uint8_t opening_queue::least_urgent() const {
    return std::max_element(waiting_.begin(), waiting_.end(),
        [](auto const& a, auto const& b) {
            return a.cost.priority < b.cost.priority;
        })
        ->cost.priority;
}

opening_queue::position opening_queue::select(instant now) const {
    bool const is_turn_of_last = overtakes_ >= max_overtakes;
    auto const last = least_urgent();
    return std::min_element(
        waiting_.begin(), waiting_.end(), [&](auto const& a, auto const& b) {
            if (is_turn_of_last && a.cost.priority != b.cost.priority)
                return a.cost.priority == last;
            return is_served_before(a.cost, b.cost, now);
        });
}

queued_opening const* opening_queue::next(instant now) const {
    return waiting_.empty() ? nullptr : &*select(now);
}

std::optional<queued_opening> opening_queue::pop(instant now) {
    if (waiting_.empty())
        return std::nullopt;
    auto const last = least_urgent();
    auto out = take(select(now));
    overtakes_ = out->cost.priority == last ? 0 : overtakes_ + 1;
    return out;
}

std::optional<queued_opening> opening_queue::pop_expired(instant now) {
    return take(
        std::find_if(waiting_.begin(), waiting_.end(), [&](auto const& it) {
            return is_too_late(now, it.cost, duration{0});
        }));
}

// A refused caller uses up one of its few retries, so the estimate of the wait
// must leave no doubt.
std::vector<queued_opening> opening_queue::take_hopeless(
    instant now, std::size_t slots) {
    std::sort(
        waiting_.begin(), waiting_.end(), [&](auto const& a, auto const& b) {
            return is_served_before(a.cost, b.cost, now);
        });
    constexpr duration::rep margin = 2;
    duration work{0};
    auto const kept = std::stable_partition(
        waiting_.begin(), waiting_.end(), [&](auto const& it) {
            auto const wait = share_of_slots(work, slots) / margin;
            if (!it.request && is_too_late(now, it.cost, wait))
                return false;
            work += it.cost.work;
            return true;
        });
    std::vector<queued_opening> out(
        std::make_move_iterator(kept), std::make_move_iterator(waiting_.end()));
    waiting_.erase(kept, waiting_.end());
    return out;
}

std::size_t opening_queue::count_urgent(std::uint8_t priority) const {
    return static_cast<std::size_t>(
        std::count_if(waiting_.begin(), waiting_.end(),
            [&](auto const& it) { return it.cost.priority <= priority; }));
}

std::optional<queued_opening> opening_queue::take(position at) {
    if (at == waiting_.end())
        return std::nullopt;
    auto const it = waiting_.begin() + (at - waiting_.cbegin());
    std::optional<queued_opening> out(std::move(*it));
    waiting_.erase(it);
    return out;
}

bool opening_queue::must_precede(std::uint8_t priority) const {
    return std::any_of(waiting_.begin(), waiting_.end(), [&](auto const& it) {
        return it.message.is_service_full && it.cost.priority < priority;
    });
}

void opening_queue::remove_request(packet_flow const& flow) {
    std::erase_if(waiting_,
        [&](auto const& it) { return it.request && it.message.flow == flow; });
}

bool opening_queue::contains(packet_flow const& flow) const {
    return std::any_of(waiting_.begin(), waiting_.end(),
        [&](auto const& it) { return it.message.flow == flow; });
}

} // namespace radishspread::internal
