#include <radishspread/core/internal/rs_byte_budget.hpp>

#include <deque>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::internal;

namespace {

constexpr std::size_t limit = 100'000;
constexpr std::size_t message = 500;

instant at(int ms) {
    return instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

} // namespace

TEST_GROUP(byte_budget) {
    byte_budget budget{limit};

    /// Sends messages until none is left; returns their bytes.
    std::size_t exhaust(int ms) {
        std::size_t sent = 0;
        for (; budget.has_left(at(ms)); sent += message)
            budget.take(at(ms), message);
        return sent;
    }
};

TEST(byte_budget, limit_holds_in_every_second) {
    std::deque<std::pair<int, std::size_t>> last_second;
    std::size_t in_window = 0;
    for (int ms = 0; ms < 5000; ms += 7) {
        auto const sent = exhaust(ms);
        last_second.emplace_back(ms, sent);
        in_window += sent;
        while (ms - last_second.front().first >= 1000) {
            in_window -= last_second.front().second;
            last_second.pop_front();
        }
        CHECK(in_window <= limit + message);
    }
}

// A limit that counts messages in a window is used up in the first moment, and
// the searches that follow wait for a second.
TEST(byte_budget, burst_is_followed_by_a_steady_rate) {
    CHECK(exhaust(0) > 0);
    for (int ms = 50; ms <= 1000; ms += 50)
        CHECK(exhaust(ms) > 0);
}

TEST(byte_budget, bytes_beyond_the_limit_delay_later_ones) {
    budget.take(at(0), limit);
    CHECK(!budget.has_left(at(900)));
    CHECK(budget.has_left(at(1100)));
}
