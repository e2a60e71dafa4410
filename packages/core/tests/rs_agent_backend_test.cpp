#include "rs_agent_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;
using namespace std::chrono_literals;

TEST_GROUP(agent_backend) {
    agent_driver driver{1};

    void setup() override {
        driver.connect();
    }

    /// Sends more requests of flow 1 than there are slots; returns how many of
    /// them were dispatched at the same time.
    std::size_t fill(route_cookie const& cookie) {
        auto const before = driver.core().outstanding();
        for (request_id n = 1; n <= 2 * slots; ++n)
            driver.request(cookie, 1, n);
        return driver.core().outstanding() - before;
    }
};

// Guards against sending full load to a backend server that has just started.
TEST(agent_backend, starting_bound_grows_to_slots_and_not_above) {
    UNSIGNED_LONGS_EQUAL(1, fill(driver.open(1)));
    agent_driver warm{1};
    warm.connect();
    warm.warm_up();
    auto const cookie = warm.open(1);
    for (request_id n = 1; n <= 2 * slots; ++n)
        warm.request(cookie, 1, n);
    UNSIGNED_LONGS_EQUAL(slots, warm.core().outstanding());
}

// Guards against sending full load to a backend server that became cold without
// a new connection.
TEST(agent_backend, slow_response_halves_bound) {
    driver.warm_up();
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 50);
    driver.now += 100ms;
    driver.respond();
    UNSIGNED_LONGS_EQUAL(slots / 2, fill(cookie));
}

// Guards against running a non-idempotent request twice after a connection
// loss, and against not retrying an idempotent one.
TEST(agent_backend, lost_connection_retries_only_idempotent_request) {
    driver.warm_up();
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1, false);
    driver.request(cookie, 1, 2, true);
    driver.backend({.kind = backend_event_kind::closed});
    CHECK_TRUE(driver.last().outcome == outcome::unknown);
    UNSIGNED_LONGS_EQUAL(1, driver.last().request);
    driver.wait(200ms);
    driver.connect();
    UNSIGNED_LONGS_EQUAL(3, driver.out.dispatches.size());
    UNSIGNED_LONGS_EQUAL(2, driver.out.dispatches.back().request);
}

// Guards against the outcome `not_run` for a refused retry: the first dispatch
// of the request may have run.
TEST(agent_backend, refused_retry_is_unknown) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1, true);
    driver.backend({.kind = backend_event_kind::lost,
        .id = driver.out.dispatches.back().id});
    UNSIGNED_LONGS_EQUAL(2, driver.out.dispatches.size());
    driver.backend({.kind = backend_event_kind::refused,
        .id = driver.out.dispatches.back().id});
    CHECK_TRUE(driver.last().outcome == outcome::unknown);
    driver.request(cookie, 1, 2);
    driver.backend({.kind = backend_event_kind::refused,
        .id = driver.out.dispatches.back().id});
    CHECK_TRUE(driver.last().outcome == outcome::not_run);
}

// Guards against unlimited retries to a failing backend server.
TEST(agent_backend, retries_stop_when_budget_is_spent) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1, true);
    for (int n = 0; n < 10; ++n)
        driver.backend({.kind = backend_event_kind::lost,
            .id = driver.out.dispatches.back().id});
    UNSIGNED_LONGS_EQUAL(11, driver.out.dispatches.size());
    driver.backend({.kind = backend_event_kind::lost,
        .id = driver.out.dispatches.back().id});
    UNSIGNED_LONGS_EQUAL(11, driver.out.dispatches.size());
    CHECK_TRUE(driver.last().outcome == outcome::unknown);
}

// Guards against requests that hang on an unresponsive connection.
TEST(agent_backend, unresponsive_connection_is_pinged_then_replaced) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1);
    driver.wait(500ms);
    UNSIGNED_LONGS_EQUAL(1, driver.out.pings.size());
    driver.wait(500ms);
    UNSIGNED_LONGS_EQUAL(1, driver.out.disconnects.size());
    UNSIGNED_LONGS_EQUAL(2, driver.out.connects.size());
    CHECK_TRUE(driver.last().outcome == outcome::unknown);
    CHECK_TRUE(driver.last().reason == reason::backend_lost);
}

// Guards against running a queued request after its deadline.
TEST(agent_backend, queued_request_past_deadline_is_not_run) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1);
    auto second = driver.make_request(cookie, 1, 2);
    second.packet.deadline = 100ms;
    driver.receive(second);
    driver.wait(150ms);
    CHECK_TRUE(driver.last().reason == reason::deadline_exceeded);
    CHECK_TRUE(driver.last().outcome == outcome::not_run);
    driver.respond();
    UNSIGNED_LONGS_EQUAL(1, driver.out.dispatches.size());
}

// Guards against a change of the slots that is ignored or drops flows.
TEST(agent_backend, changed_slots_apply_to_next_dispatches) {
    driver.warm_up();
    auto const cookie = driver.open(1);
    driver.entry().slots = 2;
    driver.entry().connections = 1;
    driver.apply();
    UNSIGNED_LONGS_EQUAL(2, fill(cookie));
}
