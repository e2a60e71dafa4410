#include <radishspread/core/internal/rs_opening_queue.hpp>

#include <algorithm>
#include <deque>
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

queued_opening opening_of(
    std::uint16_t port, milliseconds first_sent_at, std::uint8_t priority = 1) {
    return {.message = {.flow = {.caller = {.address = 1, .port = port}}},
        .first_sent_at = at(first_sent_at),
        .goal = goal,
        .priority = priority};
}

/// First-in-first-out queue as the reference of the comparison.
struct fifo_queue {
    std::deque<queued_opening> waiting;

    void push(instant, queued_opening it, duration, std::size_t) {
        waiting.push_back(std::move(it));
    }
    std::optional<queued_opening> pop(instant now, duration) {
        while (!waiting.empty() &&
               now - waiting.front().first_sent_at >= opening_age_limit)
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
        queue.push(at(milliseconds(0)), opening_of(++port, first_sent_at),
            service, slots);
    replay_result out;
    auto next_arrival = milliseconds(0);
    for (auto now = milliseconds(0); now < end; now += slot_interval) {
        for (; next_arrival <= now; next_arrival += arrival_interval)
            queue.push(
                at(now), opening_of(++port, next_arrival), service, slots);
        auto const it = queue.pop(at(now), service);
        if (!it)
            continue;
        bool const is_in_goal = at(now) + service - it->first_sent_at <= goal;
        ++(is_in_goal ? out.in_goal : out.late);
    }
    return out;
}

} // namespace

TEST_GROUP(opening_queue) {
    opening_queue queue{opening_age_limit};

    std::uint16_t pop(milliseconds now) {
        auto const it = queue.pop(at(now), service);
        return it ? it->message.flow.caller.port : std::uint16_t{0};
    }
    /// Pushes the opening to the queue of a backend server with one slot.
    bool push(queued_opening it, milliseconds now = milliseconds(0),
        milliseconds response_time = milliseconds(1)) {
        return queue.push(at(now), std::move(it), response_time, 1);
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
