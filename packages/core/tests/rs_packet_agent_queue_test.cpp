#include "rs_packet_agent_fixture.hpp"

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_agent_queue, packet_agent_fixture){};

TEST(packet_agent_queue, opening_without_free_slot_is_declined) {
    open(flow_of(1), 0);
    open(flow_of(2), 0);
    open(flow_of(3), 0);
    CHECK(last_refusal() == refusal::overloaded);
    CHECK_EQUAL(2, sink.to_backend);
}

// A flow that a caller opened and left, or took elsewhere, held a slot for five
// seconds, and agents with idle backend servers declined.
TEST(packet_agent_queue, opening_that_the_caller_did_not_use_frees_its_slot) {
    establish(flow_of(1), 0);
    establish(flow_of(2), 0);
    open(flow_of(3), 300);
    CHECK_EQUAL(3, sink.to_backend);
}

// Refused at once, callers use up their retries within milliseconds of a short
// overload.
TEST(packet_agent_queue,
    opening_without_free_slot_anywhere_is_queued_and_served) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1);
    CHECK_EQUAL(3, sink.to_backend);
    CHECK(sink.sent.back().message.kind == agent_packet_kind::queued);
    CHECK_EQUAL(4, sink.sent.back().message.in_progress);
    respond(101, 20);
    CHECK_EQUAL(4, sink.to_backend);
    CHECK_EQUAL(0, core.queued());
}

// The caller's copy asks whether the opening still waits; served early, or
// queued twice, it would take a slot of another.
TEST(packet_agent_queue, copy_of_a_queued_opening_only_confirms_it) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1);
    sink.clear();
    open_or_queue(flow_of(1), 30, 200);
    CHECK_EQUAL(0, sink.to_backend);
    CHECK_EQUAL(1, core.queued());
    CHECK(sink.sent.back().message.kind == agent_packet_kind::queued);
}

// No opening may reach a draining backend server, however long it has waited.
TEST(packet_agent_queue, queued_opening_is_judged_again_at_its_turn) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1);
    auto change = announcement_of(1, 2);
    std::get<backend_announcement>(change.content).is_draining = true;
    core.view().apply(at(10), change);
    sink.clear();
    respond(101, 20);
    CHECK_EQUAL(0, sink.to_backend);
    CHECK(last_refusal() == refusal::draining);
    CHECK_EQUAL(packet_bytes.size(), sink.sent.back().packet.size());
}

TEST(packet_agent_queue, queued_opening_that_its_caller_gave_up_is_dropped) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1, 600);
    sink.clear();
    core.tick(at(900), sink);
    CHECK_EQUAL(0, core.queued());
    CHECK_EQUAL(0, sink.to_backend);
}

// The goal of the route decides who can still be served in time.
TEST(packet_agent_queue, route_with_a_longer_goal_makes_its_opening_timely) {
    auto change = routes_of(5, 8);
    auto& routes = std::get<route_set>(change.content).routes;
    routes[0].goal = std::chrono::milliseconds(1000);
    core.view().apply(at(0), change);
    fill_slots(0);
    open_or_queue(flow_of(1), 1, 600);
    auto other = flow_of(2);
    other.service.port = 444; // No goal known.
    open_or_queue(other, 2, 600);
    sink.clear();
    respond(101, 20);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(1, core.queued());
    sink.clear();
    open_or_queue(other, 21, 620);
    CHECK(sink.sent.back().message.kind == agent_packet_kind::queued);
}

// Openings that wait at an agent which leaves go to others at once.
TEST(packet_agent_queue, stopping_agent_hands_its_queue_back) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1);
    sink.clear();
    core.stop(at(2), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::declined));
    CHECK(sink.sent.front().message.why == refusal::draining);
}

// Half of the capacity after a power loss went to openings whose callers had
// left: each held its slot for 250 ms, ten times a request's time.
TEST(packet_agent_queue,
    slot_of_an_unused_opening_is_free_after_some_round_trips) {
    establish(flow_of(1), 0);
    establish(flow_of(2), 0);
    open(flow_of(3), 60);
    CHECK_EQUAL(3, sink.to_backend);
}

// A repeated request that its backend server had answered already held a slot
// for five seconds: after a restart of all processes none was left.
TEST(packet_agent_queue, repeated_request_holds_no_slot) {
    establish(flow_of(1), 0);
    auto request = caller_packet_of(flow_of(1), 101);
    request.payload_size = 10;
    request.sequence = 0xfffffffa; // Wraps around within the request.
    auto const carried = message(agent_packet_kind::forward, flow_of(1));
    deliver(core, at(1), balancer_one, carried, request);
    CHECK_EQUAL(1, core.in_progress());
    core.handle_backend(at(20), backend_packet_of(flow_of(1)), sink);
    CHECK_EQUAL(0, core.in_progress());
    deliver(core, at(21), balancer_two, carried, request);
    CHECK_EQUAL(0, core.in_progress());
    request.sequence += request.payload_size;
    deliver(core, at(22), balancer_two, carried, request);
    CHECK_EQUAL(1, core.in_progress());
}
