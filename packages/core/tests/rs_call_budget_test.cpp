#include <radishspread/core/rs_call_budget.hpp>

#include <deque>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace radishspread;

namespace {

constexpr std::size_t limit = 40;

instant at(int ms) {
    return instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

} // namespace

TEST_GROUP(call_budget) {
    call_budget budget{limit};

    /// Starts calls until none is left; returns their count.
    std::size_t exhaust(int ms) {
        std::size_t count = 0;
        for (; budget.has_left(at(ms)); ++count)
            budget.take(at(ms));
        return count;
    }
};

// A service that answers at once was called thousands of times a second.
TEST(call_budget, limit_holds_in_every_second) {
    std::deque<std::pair<int, std::size_t>> last_second;
    std::size_t in_window = 0;
    for (int ms = 0; ms < 5000; ms += 7) {
        auto const started = exhaust(ms);
        last_second.emplace_back(ms, started);
        in_window += started;
        while (ms - last_second.front().first >= 1000) {
            in_window -= last_second.front().second;
            last_second.pop_front();
        }
        CHECK(in_window <= limit);
    }
}

// The reads after a start must not wait for one another.
TEST(call_budget, half_of_the_limit_may_start_at_once) {
    CHECK_EQUAL(limit / 2, exhaust(0));
}

// A driver that wakes up too early would do so again and again.
TEST(call_budget, call_is_available_at_the_announced_time) {
    exhaust(0);
    auto const next = budget.next_at();
    CHECK(next > at(0));
    CHECK(next <= at(51));
    CHECK(budget.has_left(next));
}

// A long silence must not add up to a burst beyond the limit.
TEST(call_budget, silence_adds_no_more_than_a_burst) {
    exhaust(0);
    CHECK_EQUAL(limit / 2, exhaust(3'600'000));
}

TEST(call_budget, lower_limit_holds_at_once) {
    budget.set_limit(10);
    CHECK_EQUAL(5, exhaust(0));
}

// A service with few reads a second is shared by many processes.
TEST(call_budget, share_leaves_half_to_others_and_has_a_minimum) {
    DOUBLES_EQUAL(100, call_budget::share(2000, 10), 0.001);
    DOUBLES_EQUAL(40, call_budget::share(2000, 100), 0.001);
    DOUBLES_EQUAL(1000, call_budget::share(2000, 0), 0.001);
}
