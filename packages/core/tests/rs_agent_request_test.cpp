#include "rs_agent_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP(agent_request) {
    agent_driver driver{1};

    void setup() override {
        driver.connect();
    }
};

// Guards against running a non-idempotent request again for a duplicate.
TEST(agent_request, duplicate_before_and_after_answer_runs_once) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1);
    driver.request(cookie, 1, 1);
    driver.respond();
    driver.request(cookie, 1, 1);
    UNSIGNED_LONGS_EQUAL(1, driver.out.dispatches.size());
    CHECK_TRUE(driver.last().kind == reply_kind::answer);
    UNSIGNED_LONGS_EQUAL(200, driver.last().status);
}

// Guards against running a late duplicate of a request whose outcome was
// reported as `not_run`.
TEST(agent_request, refused_request_repeated_with_room_stays_refused) {
    auto const cookie = driver.open(1);
    for (request_id n = 1; n <= 1 + 2 * slots; ++n)
        driver.request(cookie, 1, n);
    request_id const refused = 2 + 2 * slots;
    driver.request(cookie, 1, refused);
    CHECK_TRUE(driver.last().outcome == outcome::not_run);
    CHECK_TRUE(driver.last().reason == reason::overloaded);
    for (int n = 0; n < 1 + 2 * static_cast<int>(slots); ++n)
        driver.respond();
    auto const dispatched = driver.out.dispatches.size();
    driver.request(cookie, 1, refused);
    UNSIGNED_LONGS_EQUAL(dispatched, driver.out.dispatches.size());
    CHECK_TRUE(driver.last().outcome == outcome::not_run);
    CHECK_TRUE(driver.last().reason == reason::overloaded);
}

// Guards against running a request after its cancel was replied to with
// `not_run`.
TEST(agent_request, request_after_its_cancel_is_not_run) {
    auto const cookie = driver.open(1);
    driver.receive(driver.make_forward({.kind = packet_kind::cancel,
        .flow = 1,
        .cookie = cookie,
        .request = 1}));
    CHECK_TRUE(driver.last().outcome == outcome::not_run);
    driver.request(cookie, 1, 1);
    UNSIGNED_LONGS_EQUAL(0, driver.out.dispatches.size());
}

// Guards against running a request whose id is older than the window, so that
// its earlier result is unknown.
TEST(agent_request, id_older_than_window_is_unknown) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 65);
    driver.request(cookie, 1, 1);
    UNSIGNED_LONGS_EQUAL(1, driver.out.dispatches.size());
    CHECK_TRUE(driver.last().outcome == outcome::unknown);
    CHECK_TRUE(driver.last().reason == reason::stale_request);
}

// Guards against a retransmission that sends an answer again from its start.
TEST(agent_request, retransmit_continues_answer_at_received_offset) {
    auto const cookie = driver.open(1);
    driver.request(cookie, 1, 1);
    std::vector<std::byte> const body(2500);
    driver.respond(body);
    UNSIGNED_LONGS_EQUAL(2048, driver.last().offset);
    UNSIGNED_LONGS_EQUAL(2500, driver.last().total);
    auto const before = driver.out.replies.size();
    auto repeat = driver.make_request(cookie, 1, 1);
    repeat.packet.received = 1024;
    repeat.reply_to.port = 5001;
    driver.receive(repeat);
    UNSIGNED_LONGS_EQUAL(before + 2, driver.out.replies.size());
    UNSIGNED_LONGS_EQUAL(1024, driver.out.replies[before].message.reply.offset);
    UNSIGNED_LONGS_EQUAL(5001, driver.out.replies[before].to.port);
}

// Guards against accepting packets with a forged cookie or one of an earlier
// incarnation.
TEST(agent_request, invalid_cookie_is_dropped_or_reset) {
    auto cookie = driver.open(1);
    auto const before = driver.out.replies.size();
    ++cookie.opening;
    driver.request(cookie, 1, 1);
    UNSIGNED_LONGS_EQUAL(before, driver.out.replies.size());
    agent_driver restarted{1, 2000};
    restarted.connect();
    --cookie.opening;
    restarted.request(cookie, 1, 1);
    CHECK_TRUE(restarted.last().kind == reply_kind::reset);
    CHECK_TRUE(restarted.last().outcome == outcome::unknown);
    UNSIGNED_LONGS_EQUAL(0, restarted.out.dispatches.size());
}

// Guards against stored answers without a size limit, and against running a
// request again after its answer was evicted.
TEST(agent_request, evicted_answer_is_unknown) {
    std::vector<std::byte> const body(1U << 20U);
    auto const cookie = driver.open(1);
    for (request_id n = 1; n <= 17; ++n) {
        driver.request(cookie, 1, n);
        driver.respond(body);
    }
    driver.request(cookie, 1, 1);
    CHECK_TRUE(driver.last().reason == reason::answer_dropped);
    CHECK_TRUE(driver.last().outcome == outcome::unknown);
    UNSIGNED_LONGS_EQUAL(17, driver.out.dispatches.size());
}
