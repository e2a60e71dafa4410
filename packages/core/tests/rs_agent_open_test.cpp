#include "rs_agent_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;
using namespace std::chrono_literals;

TEST_GROUP(agent_open) {
    agent_driver driver{2};

    void setup() override {
        driver.connect();
    }

    static forward opening(flow_id flow) {
        auto message = agent_driver::make_forward(
            {.kind = packet_kind::open, .flow = flow});
        for (backend_id n = 1; n <= 3; ++n)
            message.candidates.push_back({.id = n,
                .agent = agent_endpoint(n),
                .domain = static_cast<domain_id>(n)});
        message.passes = 1;
        return message;
    }
};

// Guards against a loaded agent that accepts an opening while others are idle.
TEST(agent_open, loaded_agent_forwards_opening_with_its_load) {
    driver.receive(opening(1));
    CHECK_TRUE(driver.last().kind == reply_kind::opened);
    driver.receive(opening(2));
    UNSIGNED_LONGS_EQUAL(1, driver.out.forwards.size());
    auto const& sent = driver.out.forwards.back();
    CHECK_TRUE(sent.to == agent_endpoint(3));
    UNSIGNED_LONGS_EQUAL(1000, sent.message.least_load);
    UNSIGNED_LONGS_EQUAL(1, sent.message.least_index);
    UNSIGNED_LONGS_EQUAL(2, sent.message.passes);
}

// Guards against an opening that is forwarded without end, or accepted by a
// more loaded agent than necessary.
TEST(agent_open, last_candidate_returns_opening_to_least_loaded) {
    driver.open(1);
    auto message = opening(2);
    message.passes = 3;
    message.least_load = 600;
    message.least_index = 0;
    driver.receive(message);
    auto const& sent = driver.out.forwards.back();
    CHECK_TRUE(sent.to == agent_endpoint(1));
    CHECK_TRUE(sent.message.must_accept);
}

// Guards against more reservations than the slots and the queue can serve.
TEST(agent_open, full_agent_refuses_opening_as_not_run) {
    auto message = opening(0);
    message.must_accept = true;
    driver.entry().connections = 100;
    driver.apply();
    for (flow_id n = 1; n <= 1 + 2 * slots; ++n) {
        message.packet.flow = n;
        driver.receive(message);
        CHECK_TRUE(driver.last().kind == reply_kind::opened);
    }
    message.packet.flow = 1000;
    driver.receive(message);
    CHECK_TRUE(driver.last().kind == reply_kind::refused);
    CHECK_TRUE(driver.last().outcome == outcome::not_run);
}

// Guards against a repeated opening that occupies a second connection, and
// against unused reservations that never expire.
TEST(agent_open, repeated_opening_shares_reservation_until_it_expires) {
    auto const first = driver.open(1);
    CHECK_TRUE(first == driver.open(1));
    driver.wait(10100ms);
    driver.request(first, 1, 1);
    CHECK_TRUE(driver.last().kind == reply_kind::reset);
    CHECK_TRUE(driver.last().reason == reason::flow_not_held);
}

// Guards against new work on a view that is outdated after a pause, and against
// an agent that never works again if its view cannot be proven.
TEST(agent_open, paused_agent_takes_no_new_work_until_proof_or_timeout) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1);
    driver.respond();
    driver.now += 2s;
    driver.request(cookie, 1, 2);
    driver.request(cookie, 1, 2);
    driver.wait(1900ms);
    UNSIGNED_LONGS_EQUAL(1, driver.out.dispatches.size());
    driver.open(2);
    CHECK_TRUE(driver.last().reason == reason::unproven_view);
    driver.wait(200ms);
    UNSIGNED_LONGS_EQUAL(2, driver.out.dispatches.size());
    driver.open(2);
    CHECK_TRUE(driver.last().reason == reason::unproven_view);
    driver.apply();
    driver.open(2);
    CHECK_TRUE(driver.last().kind == reply_kind::opened);
}

// Guards against running requests in a failure domain that is out.
TEST(agent_open, domain_out_refuses_queued_and_resets_flow) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1);
    driver.request(cookie, 1, 2);
    driver.is_domain_out = true;
    driver.apply();
    CHECK_TRUE(driver.last().outcome == outcome::not_run);
    CHECK_TRUE(driver.last().reason == reason::domain_out);
    driver.request(cookie, 1, 3);
    CHECK_TRUE(driver.last().kind == reply_kind::reset);
    UNSIGNED_LONGS_EQUAL(1, driver.out.dispatches.size());
}
