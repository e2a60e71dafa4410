#include <radishspread/core/internal/rs_backend_health.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::internal;
using std::chrono::milliseconds;

namespace {

constexpr instant start{std::chrono::hours(1)};

} // namespace

TEST_GROUP(backend_health) {
    backend_health core;
    instant now = start;

    /// Records outcomes, one a millisecond, of which every `nth` is a failure;
    /// 0: none.
    void record(int times, int nth) {
        for (int n = 1; n <= times; ++n) {
            now += milliseconds(1);
            core.record(now, nth != 0 && n % nth == 0);
        }
    }
};

// Load: a backend server that fails 4 of 10 requests while it says that it is
// healthy.
TEST(backend_health, backend_server_that_fails_many_requests_is_failing) {
    record(100, 0);
    CHECK(!core.is_failing(now));
    record(8, 2);
    CHECK(core.is_failing(now));
}

// One of the requests of some deployments takes seven times as long as most.
TEST(backend_health, few_failures_change_nothing) {
    record(200, 20);
    CHECK(!core.is_failing(now));
}

TEST(backend_health, backend_server_recovers_after_successes_in_a_row) {
    record(8, 1);
    record(8, 0);
    CHECK(core.is_failing(now));
    record(12, 0);
    CHECK(!core.is_failing(now));
}

TEST(backend_health, trials_are_given_at_a_bounded_rate) {
    int trials = 0;
    for (int ms = 0; ms < 1000; ++ms)
        trials += core.take_trial(start + milliseconds(ms)) ? 1 : 0;
    CHECK_EQUAL(4, trials);
}

// Without openings and flows there are no outcomes that could clear it.
TEST(backend_health, old_outcomes_are_forgotten) {
    record(8, 1);
    CHECK(core.is_failing(now + milliseconds(4900)));
    CHECK(!core.is_failing(now + backend_health::outcome_age_limit));
}
