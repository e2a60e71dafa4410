#include <radishspread/core/rs_packet_agent.hpp>
#include <radishspread/core/rs_packet_balancer.hpp>

#include "rs_packet_agent_fixture.hpp"
#include "rs_packet_balancer_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

/// A backend server that fails requests on its flows while it says that it is
/// healthy.
TEST_GROUP_BASE(failing_backend, packet_agent_fixture){
    /// Opens a flow and sends a request, which the backend server gets.
    void begin_request(std::uint16_t port, int ms){establish(flow_of(port), ms);
auto request = caller_packet_of(flow_of(port), 101);
request.payload_size = 10;
deliver(core, at(ms), balancer_one,
    message(agent_packet_kind::forward, flow_of(port)), request);
}

void reset_by_backend(std::uint16_t port, int ms) {
    auto reset = backend_packet_of(flow_of(port));
    reset.payload_size = 0;
    reset.is_reset = true;
    core.handle_backend(at(ms), reset, sink);
}

/// Lets the backend server reset the requests of 6 flows.
void fail_requests(int ms) {
    for (std::uint16_t n = 1; n <= 6; ++n) {
        begin_request(n, ms + n);
        reset_by_backend(n, ms + n);
    }
}
}
;

TEST(failing_backend, resets_of_requests_lead_to_declined_openings) {
    fail_requests(0);
    open(flow_of(50), 10);
    sink.clear();
    open(flow_of(51), 11);
    CHECK(last_refusal() == refusal::failing);
    CHECK_EQUAL(0, sink.to_backend);
}

TEST(failing_backend, requests_without_responses_lead_to_declined_openings) {
    for (std::uint16_t n = 1; n <= 6; ++n) {
        begin_request(n, 500 * n);
        core.tick(at(500 * n + 100), sink);
        core.tick(at(500 * n + 410), sink);
        forward(flow_of(n), 101, 500 * n + 411);
        reset_by_backend(n, 500 * n + 412);
    }
    open(flow_of(50), 3500);
    sink.clear();
    open(flow_of(51), 3501);
    CHECK(last_refusal() == refusal::failing);
    CHECK(std::count(sink.events.begin(), sink.events.end(),
              packet_event::opening_declined) == 1);
}

TEST(failing_backend, trial_opening_is_admitted_now_and_then) {
    fail_requests(0);
    open(flow_of(50), 10);
    sink.clear();
    for (int ms = 20; ms < 1020; ms += 10)
        open(flow_of(static_cast<std::uint16_t>(100 + ms)), ms);
    CHECK(sink.to_backend >= 3);
    CHECK(sink.to_backend <= 4);
}

// No other backend server has taken the opening.
TEST(failing_backend, opening_that_may_be_queued_is_admitted) {
    fail_requests(0);
    open(flow_of(50), 10);
    sink.clear();
    open_or_queue(flow_of(51), 11);
    CHECK_EQUAL(1, sink.to_backend);
}

TEST(failing_backend, recovered_backend_server_is_given_openings_again) {
    fail_requests(0);
    for (std::uint16_t n = 100; n != 120; ++n) {
        open_or_queue(flow_of(n), 10 + n);
        respond(n, 10 + n);
    }
    sink.clear();
    open(flow_of(200), 200);
    CHECK_EQUAL(1, sink.to_backend);
}

// Each flow with one request counted as failed, because the packet that ends it
// came before the response.
TEST(failing_backend, finish_that_overtakes_the_response_is_no_failure) {
    for (std::uint16_t n = 1; n <= 20; ++n) {
        begin_request(n, 100 * n);
        auto finish = backend_packet_of(flow_of(n));
        finish.payload_size = 0;
        finish.is_finish = true;
        core.handle_backend(at(100 * n + 20), finish, sink);
        respond(n, 100 * n + 21);
    }
    sink.clear();
    open(flow_of(50), 2100);
    CHECK_EQUAL(1, sink.to_backend);
}

// A caller that closes a flow without a request is no failure.
TEST(failing_backend, flows_without_requests_are_no_failures) {
    for (std::uint16_t n = 1; n <= 20; ++n) {
        establish(flow_of(n), 100 * n);
        reset_by_backend(n, 100 * n + 1);
    }
    sink.clear();
    open(flow_of(50), 2100);
    CHECK_EQUAL(1, sink.to_backend);
}

TEST_GROUP_BASE(failing_backend_placement, packet_balancer_fixture){
    /// Adds agents until the service has `count`.
    void add_agents(std::uint32_t count){
        for (std::uint32_t n = 4; n <= count; ++n) core.view().apply(
            at(0), announcement_of(n, 1 + n));
}

/// Openings among 60 that were sent to the agents 1 to `last`; they decline
/// as failing, the others hold the flow.
std::size_t place(std::uint32_t last, int ms) {
    std::size_t at_failing = 0;
    for (std::uint16_t n = 0; n != 60; ++n) {
        auto const flow = flow_of(static_cast<std::uint16_t>(ms + n));
        auto agent = open(flow, ms);
        while (agent.address <= agent_address(last).address &&
               !sink.sent.back().message.may_queue) {
            ++at_failing;
            reply_declined(agent, flow, refusal::failing, ms);
            agent = sink.sent.back().to;
        }
        reply_held(agent, flow, ms);
    }
    return at_failing;
}
}
;

// Each opening was sent to a failing backend server first.
TEST(failing_backend_placement, failing_agent_is_asked_once_in_a_while) {
    add_agents(6);
    CHECK(place(1, 100) <= 1);
    CHECK_EQUAL(0, place(1, 500));
    CHECK(place(1, 1500) <= 1);
}

// If all fail, each opening was declined by all agents and then refused.
TEST(failing_backend_placement, opening_is_placed_if_all_agents_fail) {
    for (std::uint32_t n = 1; n <= 3; ++n)
        reply_declined(agent_address(n), flow_of(1), refusal::failing, 1);
    for (std::uint16_t n = 2; n != 20; ++n) {
        open(flow_of(n), 2);
        CHECK(sink.sent.back().message.may_queue);
    }
    CHECK(sink.resets.empty());
}

TEST(failing_backend_placement, flow_of_a_failing_backend_server_stays) {
    auto const agent = open(flow_of(1), 0);
    reply_held(agent, flow_of(1), 1);
    reply_declined(agent, flow_of(2), refusal::failing, 2);
    core.handle_caller(at(10), caller_packet_of(flow_of(1), 101), sink);
    CHECK(sink.sent.back().to == agent);
    CHECK(sink.sent.back().message.kind == agent_packet_kind::forward);
}
