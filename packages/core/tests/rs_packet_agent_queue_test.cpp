#include "rs_packet_agent_fixture.hpp"

#include <algorithm>

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

// A flow that its caller abandoned, or used at another backend server, occupied
// a slot for five seconds, so agents declined openings while their backend
// servers were idle.
TEST(packet_agent_queue, opening_without_data_of_its_caller_frees_its_slot) {
    establish(flow_of(1), 0);
    establish(flow_of(2), 0);
    open(flow_of(3), 300);
    CHECK_EQUAL(3, sink.to_backend);
}

// If openings are refused at once, callers use up their retries in the first
// milliseconds of a short overload.
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

// A retransmitted opening must only be confirmed: if it were admitted early or
// queued twice, it would occupy the slot of another opening.
TEST(packet_agent_queue, copy_of_a_queued_opening_only_confirms_it) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1);
    sink.clear();
    open_or_queue(flow_of(1), 30, 200);
    CHECK_EQUAL(0, sink.to_backend);
    CHECK_EQUAL(1, core.queued());
    CHECK(sink.sent.back().message.kind == agent_packet_kind::queued);
}

// No opening may reach a draining backend server, even if it was queued before
// the drain.
TEST(packet_agent_queue, queued_opening_is_checked_again_before_admission) {
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

TEST(packet_agent_queue, queued_opening_abandoned_by_its_caller_is_dropped) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1, 600);
    sink.clear();
    core.tick(at(900), sink);
    CHECK_EQUAL(0, core.queued());
    CHECK_EQUAL(0, sink.to_backend);
}

// The route's goal determines which openings can still be served in time.
TEST(packet_agent_queue, route_with_a_longer_goal_makes_its_opening_timely) {
    auto change = routes_of(5, 8);
    auto& routes = std::get<route_set>(change.content).routes;
    routes[0].goal = std::chrono::milliseconds(1000);
    core.view().apply(at(0), change);
    fill_slots(0);
    open_or_queue(flow_of(1), 1, 600);
    auto other = flow_of(2);
    other.service.port = 444; // This route sets no goal.
    open_or_queue(other, 2, 600);
    sink.clear();
    respond(101, 20);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(1, core.queued());
    sink.clear();
    open_or_queue(other, 21, 620);
    CHECK(sink.sent.back().message.kind == agent_packet_kind::queued);
}

// Openings queued at a stopping agent must be declined at once, so that the
// balancer can send them to other agents.
TEST(packet_agent_queue, stopping_agent_declines_queued_openings) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1);
    sink.clear();
    core.stop(at(2), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::declined));
    CHECK(sink.sent.front().message.why == refusal::draining);
}

// After a power loss, half of the capacity was occupied by openings whose
// callers had given up: each kept its slot for 250 ms, ten times as long as a
// request.
TEST(packet_agent_queue,
    slot_of_an_unused_opening_is_freed_after_some_round_trips) {
    establish(flow_of(1), 0);
    establish(flow_of(2), 0);
    open(flow_of(3), 60);
    CHECK_EQUAL(3, sink.to_backend);
}

// A retransmitted request that the backend server had already responded to
// occupied a slot for five seconds: after a restart of all processes no slot
// was free.
TEST(packet_agent_queue, retransmitted_request_occupies_no_slot) {
    establish(flow_of(1), 0);
    auto request = caller_packet_of(flow_of(1), 101);
    request.payload_size = 10;
    request.sequence = 0xfffffffa; // Wraps around within the request.
    auto const forwarded = message(agent_packet_kind::forward, flow_of(1));
    deliver(core, at(1), balancer_one, forwarded, request);
    CHECK_EQUAL(1, core.in_progress());
    core.handle_backend(at(20), backend_packet_of(flow_of(1)), sink);
    CHECK_EQUAL(0, core.in_progress());
    deliver(core, at(21), balancer_two, forwarded, request);
    CHECK_EQUAL(0, core.in_progress());
    request.sequence += request.payload_size;
    deliver(core, at(22), balancer_two, forwarded, request);
    CHECK_EQUAL(1, core.in_progress());
}

TEST_GROUP_BASE(packet_agent_overload, packet_agent_fixture) {
    static constexpr std::uint16_t urgent_port = 444;

    /// The test route has priority 2, one with another port priority 1.
    void setup() override {
        packet_agent_fixture::setup();
        auto change = routes_of(5, 8);
        auto& routes = std::get<route_set>(change.content).routes;
        routes[0].priority = 2;
        auto urgent = routes[0];
        urgent.address.port = urgent_port;
        urgent.priority = 1;
        routes.push_back(urgent);
        core.view().apply(at(0), change);
    }

    packet_flow urgent_flow(std::uint16_t caller_port) {
        auto flow = flow_of(caller_port);
        flow.service.port = urgent_port;
        return flow;
    }

    /// Queues an opening that no other agent has room for.
    void queue_urgent(std::uint16_t port, int ms) {
        auto opening = message(agent_packet_kind::open, urgent_flow(port));
        opening.may_queue = true;
        opening.is_service_full = true;
        deliver(core, at(ms), balancer_one, opening,
            opening_packet(urgent_flow(port)));
    }

    /// Opens a flow whose first request has been responded to.
    void open_idle_flow(std::uint16_t port, int ms) {
        establish(flow_of(port), ms);
        forward(flow_of(port), 101, ms + 1);
        request(port, 0, ms + 1);
        respond(port, ms + 2);
    }

    /// Sends a request of 10 bytes that begins at `sequence`.
    void request(std::uint16_t port, std::uint32_t sequence, int ms) {
        auto packet = caller_packet_of(flow_of(port), 101);
        packet.payload_size = 10;
        packet.sequence = sequence;
        deliver(core, at(ms), balancer_one,
            message(agent_packet_kind::forward, flow_of(port)), packet);
    }
};

// Requests on open flows took all slots, and urgent openings waited until their
// callers gave up.
TEST(packet_agent_overload, request_on_an_open_flow_waits_for_urgent_openings) {
    open_idle_flow(1, 0);
    fill_slots(100);
    queue_urgent(2, 101);
    sink.clear();
    request(1, 10, 102);
    CHECK_EQUAL(0, sink.to_backend);
    CHECK_EQUAL(2, core.queued());
    respond(101, 110);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(1, core.queued());
    respond(102, 120);
    CHECK_EQUAL(2, sink.to_backend);
    CHECK_EQUAL(0, core.queued());
}

// The backend server keeps its own order while nothing more urgent waits.
TEST(
    packet_agent_overload, request_on_an_open_flow_waits_for_no_equal_opening) {
    open_idle_flow(1, 0);
    fill_slots(100);
    open_or_queue(flow_of(2), 101);
    sink.clear();
    request(1, 10, 102);
    CHECK_EQUAL(1, sink.to_backend);
}

TEST(packet_agent_overload, copy_of_a_queued_request_is_not_passed_on) {
    open_idle_flow(1, 0);
    fill_slots(100);
    queue_urgent(2, 101);
    request(1, 10, 102);
    sink.clear();
    request(1, 10, 302);
    CHECK_EQUAL(0, sink.to_backend);
    CHECK_EQUAL(2, core.queued());
}

// A request that has begun holds a slot already; holding back the rest of it
// would keep that slot occupied.
TEST(packet_agent_overload, rest_of_a_request_in_progress_is_passed_on) {
    open_idle_flow(1, 0);
    request(1, 10, 3);
    fill_slots(100);
    queue_urgent(2, 101);
    sink.clear();
    request(1, 20, 102);
    CHECK_EQUAL(1, sink.to_backend);
}

TEST(packet_agent_overload, queued_request_of_a_reset_flow_is_forgotten) {
    open_idle_flow(1, 0);
    fill_slots(100);
    queue_urgent(2, 101);
    request(1, 10, 102);
    auto reset = caller_packet_of(flow_of(1), 101);
    reset.is_reset = true;
    deliver(core, at(103), balancer_one,
        message(agent_packet_kind::forward, flow_of(1)), reset);
    CHECK_EQUAL(1, core.queued());
}

// The opening was taken for a copy of a queued one, and never admitted.
TEST(packet_agent_overload, opening_replaces_the_request_of_an_earlier_flow) {
    open_idle_flow(1, 0);
    fill_slots(100);
    queue_urgent(2, 101);
    request(1, 10, 102);
    auto finish = caller_packet_of(flow_of(1), 101);
    finish.is_finish = true;
    deliver(core, at(103), balancer_one,
        message(agent_packet_kind::forward, flow_of(1)), finish);
    finish = backend_packet_of(flow_of(1));
    finish.payload_size = 0;
    finish.is_finish = true;
    core.handle_backend(at(104), finish, sink);
    sink.clear();
    open(flow_of(1), 105);
    CHECK(last_refusal() == refusal::overloaded);
    CHECK_EQUAL(1, core.queued());
}

// An open flow must not be reset, so its caller sends the request again.
TEST(packet_agent_overload, queued_request_that_is_late_is_dropped) {
    open_idle_flow(1, 0);
    fill_slots(100);
    queue_urgent(2, 101);
    request(1, 10, 102);
    sink.clear();
    core.tick(at(1500), sink);
    CHECK_EQUAL(0, core.queued());
    CHECK(sink.resets.empty());
    CHECK(sink.last_reason_of(packet_event::request_dropped) ==
          refusal::overloaded);
}

TEST(packet_agent_overload, stopping_agent_passes_queued_requests_on) {
    open_idle_flow(1, 0);
    fill_slots(100);
    queue_urgent(2, 101);
    request(1, 10, 102);
    sink.clear();
    core.stop(at(103), sink);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::declined));
}

// A backend server that answers some requests never had slots for the others.
TEST(packet_agent_overload, request_does_not_wait_for_stuck_ones) {
    open_idle_flow(1, 0);
    for (std::uint16_t n = 101; n <= 103; ++n) {
        open_or_queue(flow_of(n), 100);
        core.handle_backend(at(100), opening_reply_of(flow_of(n), 100), sink);
        request(n, 0, 101);
    }
    queue_urgent(2, 102);
    core.tick(at(900), sink);
    sink.clear();
    request(1, 10, 901);
    CHECK_EQUAL(1, sink.to_backend);
}

// A single backend server was slow: requests on its flows were held back for
// openings that others could have taken.
TEST(packet_agent_overload, request_does_not_wait_if_other_agents_have_room) {
    open_idle_flow(1, 0);
    fill_slots(100);
    open_or_queue(urgent_flow(2), 101);
    sink.clear();
    request(1, 10, 102);
    CHECK_EQUAL(1, sink.to_backend);
}

TEST(packet_agent_overload, report_counts_the_requests_that_are_as_urgent) {
    fill_slots(0);
    open(urgent_flow(2), 1);
    CHECK_EQUAL(0, sink.sent.back().message.urgent);
    CHECK_EQUAL(3, sink.sent.back().message.in_progress);
    open(flow_of(3), 1);
    CHECK_EQUAL(3, sink.sent.back().message.urgent);
}

TEST(packet_agent_overload, opening_that_will_be_too_late_is_declined) {
    fill_slots(0);
    open_or_queue(flow_of(1), 1, 1000);
    for (std::uint16_t n = 2; n != 20; ++n)
        open_or_queue(urgent_flow(n), 1, 1000);
    sink.clear();
    core.tick(at(200), sink);
    auto const declined = std::find_if(sink.sent.begin(), sink.sent.end(),
        [](auto const& it) { return it.message.flow == flow_of(1); });
    CHECK(declined != sink.sent.end());
    CHECK(declined->message.kind == agent_packet_kind::declined);
    CHECK(declined->message.why == refusal::overloaded);
    CHECK_EQUAL(packet_bytes.size(), declined->packet.size());
}
