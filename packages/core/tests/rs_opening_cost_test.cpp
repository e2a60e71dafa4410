#include <radishspread/core/internal/rs_opening_cost.hpp>
#include <radishspread/core/internal/rs_requests_in_progress.hpp>
#include <radishspread/core/internal/rs_work_estimates.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::internal;
using std::chrono::milliseconds;

namespace {

constexpr instant start{std::chrono::hours(1)};

opening_cost cost_of(
    std::uint8_t priority, milliseconds work, milliseconds age = {}) {
    return {.first_sent_at = start - age,
        .goal = milliseconds(200),
        .work = work,
        .priority = priority};
}

constexpr endpoint route_of(std::uint16_t port) {
    return {.address = 0xc6120001, .port = port};
}

} // namespace

TEST_GROUP(opening_cost){};

TEST(opening_cost, urgent_opening_is_served_before_one_of_equal_work) {
    CHECK(is_served_before(
        cost_of(1, milliseconds(20)), cost_of(2, milliseconds(20)), start));
}

// In the order of priorities alone, one long request delays many short ones.
TEST(opening_cost, short_opening_is_served_before_a_far_longer_urgent_one) {
    CHECK(is_served_before(
        cost_of(2, milliseconds(5)), cost_of(1, milliseconds(40)), start));
    CHECK(!is_served_before(
        cost_of(2, milliseconds(15)), cost_of(1, milliseconds(20)), start));
}

TEST(opening_cost, opening_that_can_meet_its_goal_is_served_before_a_late_one) {
    auto const late = cost_of(1, milliseconds(20), milliseconds(190));
    CHECK(!is_timely(late, start));
    CHECK(is_served_before(cost_of(1, milliseconds(20)), late, start));
    CHECK(is_served_before(cost_of(2, milliseconds(20)), late, start));
}

TEST(opening_cost, order_is_strict_for_equal_openings) {
    auto const a = cost_of(1, milliseconds(20));
    CHECK(!is_served_before(a, a, start));
}

// Both were served before the other, which breaks a sort.
TEST(opening_cost, order_is_strict_for_a_timely_and_a_late_one_of_equal_worth) {
    auto timely = cost_of(2, milliseconds(0));
    timely.work = std::chrono::microseconds(3340);
    auto late = cost_of(2, milliseconds(0), milliseconds(500));
    late.work = std::chrono::microseconds(1002);
    CHECK(worth_per_second(timely, start) == worth_per_second(late, start));
    CHECK(is_served_before(timely, late, start));
    CHECK(!is_served_before(late, timely, start));
}

TEST_GROUP(work_estimates) {
    work_estimates work;

    void record(std::uint16_t port, milliseconds value, int times) {
        for (int n = 0; n != times; ++n)
            work.record(route_of(port), value);
    }
};

TEST(work_estimates, each_route_has_its_own_mean) {
    record(1, milliseconds(30), 100);
    record(2, milliseconds(5), 100);
    CHECK(work.of(route_of(1)) == milliseconds(30));
    CHECK(work.of(route_of(2)) == milliseconds(5));
}

TEST(work_estimates, route_without_responses_has_the_mean_of_all) {
    CHECK(work.of(route_of(1)) == work_estimates::initial);
    record(2, milliseconds(5), 200);
    CHECK(work.of(route_of(1)) < milliseconds(6));
}

// Routes come and go with the configuration, for as long as the process runs.
TEST(work_estimates, number_of_routes_is_bounded) {
    constexpr auto routes =
        static_cast<std::uint16_t>(work_estimates::max_routes);
    for (std::uint16_t n = 0; n != routes; ++n)
        record(n, milliseconds(30), 1);
    record(routes, milliseconds(5), 200);
    CHECK(work.of(route_of(routes)) == work.mean());
    CHECK(work.of(route_of(0)) == milliseconds(30));
}

TEST_GROUP(requests_in_progress) {
    requests_in_progress requests;
};

TEST(requests_in_progress, urgent_ones_include_equal_priorities) {
    for (std::uint8_t const priority : {0, 1, 1, 2})
        requests.add(priority);
    CHECK_EQUAL(4, requests.total());
    CHECK_EQUAL(3, requests.count_urgent(1));
    requests.remove(1);
    CHECK_EQUAL(2, requests.count_urgent(1));
    CHECK_EQUAL(3, requests.count_urgent(2));
}

TEST(requests_in_progress, priorities_beyond_the_last_are_counted_together) {
    requests.add(200);
    requests.add(255);
    CHECK_EQUAL(0, requests.count_urgent(1));
    CHECK_EQUAL(2, requests.count_urgent(255));
    requests.remove(255);
    CHECK_EQUAL(1, requests.total());
}
