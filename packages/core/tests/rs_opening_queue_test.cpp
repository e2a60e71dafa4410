#include <radishspread/core/internal/rs_opening_queue.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::internal;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds opening_age_limit{1350};
constexpr milliseconds service{50};
constexpr milliseconds goal{200};

instant at(milliseconds since) {
    return instant(std::chrono::hours(1)) + since;
}

queued_opening opening_of(std::uint16_t port, milliseconds first_sent_at,
    std::uint8_t priority = 1, duration work = service) {
    return {.message = {.flow = {.caller = {.address = 1, .port = port}}},
        .cost = {.first_sent_at = at(first_sent_at),
            .goal = goal,
            .work = work,
            .priority = priority}};
}

/// First-in-first-out queue as the reference of the comparison.
struct fifo_queue {
    std::deque<queued_opening> waiting;

    void push(instant, queued_opening it, std::size_t) {
        waiting.push_back(std::move(it));
    }
    std::optional<queued_opening> pop(instant now) {
        while (!waiting.empty() &&
               now - waiting.front().cost.first_sent_at >= opening_age_limit)
            waiting.pop_front();
        if (waiting.empty())
            return std::nullopt;
        auto out = waiting.front();
        waiting.pop_front();
        return out;
    }
};

struct replay_result {
    int in_goal = 0;
    int late = 0;
};

/// Replays a power loss of 1.4 s: the openings of that time arrive at once when
/// the backend server restarts, and new ones at 80% of its capacity.
template <class Queue> replay_result replay_backlog(Queue&& queue) {
    constexpr milliseconds outage{1300};
    constexpr std::size_t slots = 2;
    constexpr milliseconds slot_interval = service / slots;
    constexpr milliseconds arrival_interval = slot_interval * 5 / 4;
    constexpr milliseconds end{4000};
    std::uint16_t port = 0;
    for (auto first_sent_at = -outage; first_sent_at < milliseconds(0);
         first_sent_at += arrival_interval)
        queue.push(
            at(milliseconds(0)), opening_of(++port, first_sent_at), slots);
    replay_result out;
    auto next_arrival = milliseconds(0);
    for (auto now = milliseconds(0); now < end; now += slot_interval) {
        for (; next_arrival <= now; next_arrival += arrival_interval)
            queue.push(at(now), opening_of(++port, next_arrival), slots);
        auto const it = queue.pop(at(now));
        if (!it)
            continue;
        bool const is_in_goal =
            at(now) + service - it->cost.first_sent_at <= goal;
        ++(is_in_goal ? out.in_goal : out.late);
    }
    return out;
}

/// Order of service by arrival and by priority, as references of the overload.
struct priority_queue : fifo_queue {
    std::optional<queued_opening> pop(instant now) {
        std::stable_sort(
            waiting.begin(), waiting.end(), [](auto const& a, auto const& b) {
                return a.cost.priority < b.cost.priority;
            });
        return fifo_queue::pop(now);
    }
};

struct overload_result {
    double worth = 0;
    /// Longest time in which none of the least urgent class was served.
    milliseconds longest_pause{0};
    int refused = 0;
    milliseconds longest_wait_of_refused{0};
};

/// Replays a burst of 8 s, longer than any opening waits, at twice the capacity
/// of a backend server with one slot: short openings of the least urgent
/// priority, ordinary ones, and long urgent ones.
template <class Queue> overload_result replay_overload(Queue&& queue) {
    struct load {
        std::uint8_t priority;
        milliseconds work;
        milliseconds interval;
    };
    constexpr std::array loads{load{1, milliseconds(30), milliseconds(40)},
        load{2, milliseconds(20), milliseconds(40)},
        load{3, milliseconds(30), milliseconds(40)}};
    constexpr milliseconds end{8000};
    overload_result out;
    std::uint16_t port = 0;
    milliseconds free_at{0};
    milliseconds last_served{0};
    for (milliseconds now{0}; now != end; ++now) {
        for (auto const& it : loads)
            if (now % it.interval == milliseconds(0))
                queue.push(
                    at(now), opening_of(++port, now, it.priority, it.work), 1);
        if constexpr (requires { queue.take_hopeless(at(now), 1); }) {
            for (auto const& it : queue.take_hopeless(at(now), 1)) {
                ++out.refused;
                out.longest_wait_of_refused =
                    std::max(out.longest_wait_of_refused,
                        std::chrono::duration_cast<milliseconds>(
                            at(now) - it.cost.first_sent_at));
            }
        }
        if (now < free_at)
            continue;
        auto const it = queue.pop(at(now));
        if (!it)
            continue;
        free_at = now + std::chrono::duration_cast<milliseconds>(it->cost.work);
        bool const is_in_goal = is_timely(it->cost, at(now));
        out.worth +=
            (is_in_goal ? 1.0 : late_worth) / (1U << it->cost.priority);
        if (it->cost.priority != loads.back().priority)
            continue;
        out.longest_pause = std::max(out.longest_pause, now - last_served);
        last_served = now;
    }
    return out;
}

/// Opening of one of several client accounts.
queued_opening opening_of_account(
    std::uint32_t account, milliseconds first_sent_at) {
    auto out = opening_of(1, first_sent_at);
    out.message.flow.caller.address = account;
    return out;
}

/// Openings served in time of all that the client accounts within their share
/// sent.
struct share_result {
    int sent = 0;
    int in_goal = 0;
};

/// Replays 8 s in which one client account opens flows at three times the
/// capacity of a backend server, while 20 others send half of what it can take.
/// If the greedy one `uses_many_addresses`, it looks like many accounts.
share_result replay_greedy_account(bool uses_many_addresses) {
    constexpr std::size_t slots = 2;
    constexpr milliseconds slot_interval = service / slots;
    constexpr milliseconds greedy_interval = slot_interval / 3;
    constexpr milliseconds other_interval = slot_interval * 2;
    constexpr std::uint32_t accounts = 20;
    constexpr std::uint32_t greedy = 1000;
    opening_queue queue(opening_age_limit);
    share_result out;
    std::uint32_t sent = 0;
    for (milliseconds now{0}; now != milliseconds(8000); ++now) {
        if (now % greedy_interval == milliseconds(0)) {
            ++sent;
            auto const account = uses_many_addresses ? greedy + sent : greedy;
            queue.push(at(now), opening_of_account(account, now), slots);
        }
        // Between two free slots, so that newer ones of the flood follow.
        if (now % other_interval == slot_interval / 2) {
            auto const n = static_cast<std::uint32_t>(out.sent++);
            queue.push(
                at(now), opening_of_account(1 + n % accounts, now), slots);
        }
        if (now % slot_interval != milliseconds(0))
            continue;
        auto const it = queue.pop(at(now));
        bool const counts = it && it->message.flow.caller.address < greedy &&
                            is_timely(it->cost, at(now));
        out.in_goal += counts ? 1 : 0;
    }
    return out;
}

} // namespace

TEST_GROUP(opening_queue) {
    opening_queue queue{opening_age_limit};

    std::uint16_t pop(milliseconds now) {
        auto const it = queue.pop(at(now));
        return it ? it->message.flow.caller.port : std::uint16_t{0};
    }
    /// Pushes the opening to the queue of a backend server with one slot.
    bool push(queued_opening it, milliseconds now = milliseconds(0),
        milliseconds response_time = milliseconds(1)) {
        it.cost.work = response_time;
        return queue.push(at(now), std::move(it), 1).is_queued;
    }
};

TEST(opening_queue, timely_openings_are_served_first_newest_first) {
    push(opening_of(1, milliseconds(-600)));
    push(opening_of(2, milliseconds(-100)));
    push(opening_of(3, milliseconds(-20)));
    CHECK_EQUAL(3, pop(milliseconds(0)));
    CHECK_EQUAL(2, pop(milliseconds(0)));
    CHECK_EQUAL(1, pop(milliseconds(0)));
    CHECK_EQUAL(0, pop(milliseconds(0)));
}

TEST(opening_queue, urgent_opening_is_served_before_newer_ones) {
    push(opening_of(1, milliseconds(-100), 0));
    push(opening_of(2, milliseconds(-10), 2));
    CHECK_EQUAL(1, pop(milliseconds(0)));
}

TEST(opening_queue, late_openings_are_served_oldest_first) {
    push(opening_of(1, milliseconds(-400)));
    push(opening_of(2, milliseconds(-900)));
    CHECK_EQUAL(2, pop(milliseconds(0)));
}

// If an opening that cannot be served is queued until its caller gives up, the
// caller has no time left for a retry.
TEST(opening_queue, opening_that_would_be_served_too_late_is_not_queued) {
    CHECK(push(opening_of(1, milliseconds(-1000)), {}, milliseconds(100)));
    CHECK(push(opening_of(2, milliseconds(-1000)), {}, milliseconds(100)));
    CHECK(push(opening_of(3, milliseconds(-1000)), {}, milliseconds(100)));
    CHECK(!push(opening_of(4, milliseconds(-1000)), {}, milliseconds(100)));
    CHECK(push(opening_of(5, milliseconds(0)), {}, milliseconds(100)));
}

// A power loss leaves a backlog of more than a second. New openings, which are
// served first, were refused because of its length, and their callers used up
// all retries within milliseconds.
TEST(opening_queue, new_opening_is_queued_behind_a_long_backlog) {
    constexpr milliseconds response_time{20};
    constexpr std::uint16_t backlog = 100;
    for (std::uint16_t n = backlog; n != 0; --n)
        CHECK(push(opening_of(n, milliseconds(-n)), {}, response_time));
    CHECK(!push(opening_of(300, milliseconds(-400)), {}, response_time));
    CHECK(push(opening_of(301, milliseconds(0)), {}, response_time));
    CHECK_EQUAL(301, pop(milliseconds(0)));
}

TEST(opening_queue, opening_abandoned_by_its_caller_expires) {
    push(opening_of(1, milliseconds(0)));
    CHECK(!queue.pop_expired(at(milliseconds(1349))).has_value());
    CHECK(queue.pop_expired(at(milliseconds(1350))).has_value());
    CHECK_EQUAL(0, queue.size());
}

TEST(opening_queue, full_queue_rejects_openings) {
    for (std::size_t n = 0; n != opening_queue::max_size; ++n)
        push(opening_of(1, milliseconds(0)), {}, {});
    CHECK(!push(opening_of(2, milliseconds(0)), {}, {}));
}

// A flood of less urgent openings kept urgent ones out.
TEST(opening_queue, urgent_opening_displaces_the_one_that_costs_least) {
    for (std::size_t n = 0; n != opening_queue::max_size; ++n)
        push(opening_of(1, milliseconds(0), 2), {}, {});
    auto const result = queue.push(at(milliseconds(0)),
        opening_of(2, milliseconds(0), 1, milliseconds(0)), 1);
    CHECK(result.is_queued);
    CHECK_EQUAL(1, result.displaced->message.flow.caller.port);
    CHECK_EQUAL(opening_queue::max_size, queue.size());
    CHECK_EQUAL(2, pop(milliseconds(0)));
}

// An opening that more urgent ones overtake kept its caller waiting until it
// gave up, instead of being refused while a retry had time.
TEST(opening_queue, overtaken_opening_is_returned_before_it_expires) {
    CHECK(push(opening_of(1, milliseconds(0), 2), {}, service));
    constexpr std::uint16_t urgent = 26; // Take almost all of the time.
    for (std::uint16_t n = 2; n != urgent + 2; ++n)
        CHECK(push(opening_of(n, milliseconds(0), 1), {}, service));
    CHECK(queue.take_hopeless(at(milliseconds(600)), 1).empty());
    auto const out = queue.take_hopeless(at(milliseconds(720)), 1);
    CHECK_EQUAL(1, out.size());
    CHECK_EQUAL(1, out.front().message.flow.caller.port);
    CHECK_EQUAL(urgent, queue.size());
}

TEST(opening_queue, openings_that_can_be_served_are_kept) {
    for (std::uint16_t n = 1; n != 20; ++n)
        push(opening_of(n, milliseconds(0)), {}, service);
    CHECK(queue.take_hopeless(at(milliseconds(1)), 1).empty());
    CHECK_EQUAL(19, queue.size());
}

TEST(opening_queue, least_urgent_opening_is_served_after_some_overtakes) {
    push(opening_of(100, milliseconds(0), 3));
    for (std::uint16_t n = 0; n != 20; ++n)
        push(opening_of(n + 1, milliseconds(0), 1));
    for (unsigned n = 0; n != opening_queue::max_overtakes; ++n)
        CHECK(pop(milliseconds(1)) != 100);
    CHECK_EQUAL(100, pop(milliseconds(1)));
}

// Load: twice the capacity for longer than callers wait. Neither the order of
// arrival nor that of priorities alone weighs the work.
TEST(opening_queue, long_overload_is_served_by_what_it_costs_callers) {
    auto const by_cost = replay_overload(opening_queue(opening_age_limit));
    auto const by_arrival = replay_overload(fifo_queue{});
    auto const by_priority = replay_overload(priority_queue{});
    CHECK(by_cost.worth > by_arrival.worth * 2);
    CHECK(by_cost.worth > by_priority.worth);
}

TEST(opening_queue, long_overload_starves_no_priority) {
    auto const out = replay_overload(opening_queue(opening_age_limit));
    constexpr auto bound =
        (opening_queue::max_overtakes + 1) * milliseconds(30);
    CHECK(out.longest_pause <= bound);
}

// What cannot be served is refused while its caller has time for a retry.
TEST(opening_queue, long_overload_refuses_before_callers_give_up) {
    auto const out = replay_overload(opening_queue(opening_age_limit));
    CHECK(out.refused > 0);
    CHECK(out.longest_wait_of_refused < opening_age_limit);
}

// In first-in-first-out order, all openings in the first seconds after a power
// loss were served late, including new ones.
TEST(opening_queue, backlog_after_a_power_loss_delays_no_new_opening) {
    auto const queued = replay_backlog(opening_queue(opening_age_limit));
    auto const fifo = replay_backlog(fifo_queue{});
    constexpr int new_openings = 128; // 4 s at one per 31.25 ms.
    CHECK(queued.in_goal >= new_openings * 95 / 100);
    CHECK(queued.in_goal > fifo.in_goal * 5 / 4);
    CHECK(queued.late > 0);
}

// Load: one client account sends three times the capacity. Without a share for
// each account, callers that sent a small part of it were served no better than
// the flood.
TEST(opening_queue, greedy_account_takes_no_places_of_others) {
    auto const shared = replay_greedy_account(false);
    auto const unshared = replay_greedy_account(true);
    CHECK(shared.in_goal >= shared.sent * 95 / 100);
    CHECK(unshared.in_goal < unshared.sent / 2);
}

TEST(opening_queue, account_without_others_uses_all_places) {
    for (std::uint16_t n = 1; n != 50; ++n) {
        auto const out = queue.push(
            at(milliseconds(0)), opening_of_account(1, milliseconds(0)), 50);
        CHECK(out.is_queued);
        CHECK(!out.is_over_share);
    }
}

// A host that sends a few requests at once is not greedy, even if all others
// have one opening each.
TEST(opening_queue, some_openings_of_an_account_are_within_its_share) {
    for (std::uint32_t n = 2; n != 20; ++n)
        queue.push(
            at(milliseconds(0)), opening_of_account(n, milliseconds(0)), 50);
    for (std::size_t n = 0; n != opening_queue::min_share; ++n)
        CHECK(!queue
                   .push(at(milliseconds(0)),
                       opening_of_account(1, milliseconds(0)), 50)
                   .is_over_share);
    CHECK(queue
              .push(at(milliseconds(0)), opening_of_account(1, milliseconds(0)),
                  50)
              .is_over_share);
}

TEST(opening_queue, opening_over_share_is_served_after_late_ones_of_others) {
    for (std::uint32_t n = 2; n != 20; ++n)
        queue.push(
            at(milliseconds(0)), opening_of_account(n, milliseconds(-400)), 50);
    for (std::size_t n = 0; n != opening_queue::min_share + 1; ++n)
        queue.push(
            at(milliseconds(0)), opening_of_account(1, milliseconds(0)), 50);
    auto const served_address = [&] {
        return queue.pop(at(milliseconds(0)))->message.flow.caller.address;
    };
    for (std::size_t n = 0; n != opening_queue::min_share; ++n)
        CHECK_EQUAL(1, served_address());
    for (std::uint32_t n = 2; n != 20; ++n)
        CHECK(served_address() != 1);
    CHECK_EQUAL(1, served_address());
}

// Late openings of a flood, the oldest first, kept those of other callers back.
TEST(opening_queue, late_opening_over_share_is_served_last) {
    push(opening_of_account(2, milliseconds(-300)));
    for (std::size_t n = 0; n != opening_queue::min_share + 1; ++n)
        push(opening_of_account(1, milliseconds(-600)));
    std::uint32_t last = 0;
    while (auto const it = queue.pop(at(milliseconds(0))))
        last = it->message.flow.caller.address;
    CHECK_EQUAL(1, last);
}
