#include "rs_packet_balancer_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_balancer, packet_balancer_fixture){};

TEST(packet_balancer, later_packet_of_held_flow_goes_to_its_agent) {
    auto const agent = open(flow_of(1), 0);
    hold(agent, flow_of(1), 1);
    sink.clear();
    core.handle_caller(at(2), caller_packet_of(flow_of(1), 101), sink);
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].to == agent);
    CHECK(sink.sent[0].message.kind == agent_packet_kind::forward);
}

// A full cache costs searches, never flows, and operators are told.
TEST(packet_balancer, full_flow_table_drops_the_quietest_flows) {
    packet_balancer small{packet_balancer_options{
        .domain = test_domain, .agent_port = agent_port, .max_flows = 10}};
    small.start(at(0), sink);
    for (std::uint16_t n = 1; n <= 30; ++n)
        small.handle(at(n * 900), agent_address(1),
            {.kind = agent_packet_kind::held,
                .service = test_service,
                .flow = flow_of(n)},
            nullptr, sink);
    CHECK(small.flows() <= 10);
    CHECK(std::count(sink.events.begin(), sink.events.end(),
              packet_event::table_full) > 0);
}

// Guards against waiting for the caller's second copy, 200 ms later, when the
// agent asked first is dead.
TEST(packet_balancer, opening_without_answer_goes_to_another_agent) {
    auto const first = open(flow_of(1), 0);
    core.tick(at(50), sink);
    CHECK_EQUAL(2, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().to != first);
}

// Two agents may both have offered a flow; sending the caller's packets to the
// one that it did not take would break the flow.
TEST(packet_balancer, flow_offered_twice_goes_where_the_caller_took_it) {
    auto const first = open(flow_of(1), 0);
    core.tick(at(50), sink);
    auto const second = sink.sent.back().to;
    hold(second, flow_of(1), 55, 500);
    hold(first, flow_of(1), 60, 900);
    sink.clear();
    core.handle_caller(at(61), caller_packet_of(flow_of(1), 901), sink);
    CHECK(sink.sent[0].to == first);
}

TEST(packet_balancer, opening_without_free_slot_anywhere_waits_at_one) {
    open(flow_of(1), 0);
    for (int n = 0; n != 3; ++n)
        decline(sink.sent.back().to, flow_of(1), refusal::overloaded, 1);
    CHECK_EQUAL(4, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().message.may_queue);
    CHECK(sink.resets.empty());
}

TEST(packet_balancer, opening_that_nobody_can_take_is_reset_at_once) {
    open(flow_of(1), 0);
    for (int n = 0; n != 3; ++n)
        decline(sink.sent.back().to, flow_of(1), refusal::draining, 1);
    CHECK_EQUAL(1, sink.resets.size());
}

// A silent agent may still take the opening, and a reset would break the flow.
TEST(packet_balancer, opening_with_a_silent_agent_is_not_reset) {
    open(flow_of(1), 0);
    core.tick(at(50), sink);
    decline(sink.sent.back().to, flow_of(1), refusal::draining, 51);
    decline(sink.sent.back().to, flow_of(1), refusal::draining, 52);
    CHECK(sink.resets.empty());
}

TEST(packet_balancer, opening_without_route_is_reset) {
    auto flow = flow_of(1);
    flow.service.port = 444;
    core.handle_caller(at(0), opening_packet(flow), sink);
    CHECK_EQUAL(1, sink.resets.size());
}

// A balancer that the configuration service turns away hears of newer routes
// from the agents; refusing its callers until it is served again cost every
// opening of a failure domain for nine seconds.
TEST(packet_balancer, opening_declined_for_stale_routes_waits_for_new_ones) {
    open(flow_of(1), 0);
    decline(sink.sent.back().to, flow_of(1), refusal::stale_view, 1, 6);
    CHECK(sink.resets.empty());
    CHECK(sink.newer_peer == agent_address(1) ||
          sink.newer_peer == agent_address(2) ||
          sink.newer_peer == agent_address(3));
    sink.clear();
    core.view().apply(at(20), routes_of(6, 9));
    core.view_confirmed(at(20), at(2), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::open));
    CHECK_EQUAL(6, sink.sent[0].message.route_version);
}

// A balancer that has just started dropped openings until its first read, and
// the callers' next copies came 200 ms later.
TEST(packet_balancer, opening_before_the_first_read_is_placed_after_it) {
    packet_balancer fresh{packet_balancer_options{
        .domain = test_domain, .agent_port = agent_port}};
    fresh.start(at(0), sink);
    fresh.handle_caller(at(1), opening_packet(flow_of(1)), sink);
    CHECK(sink.sent.empty());
    fresh.view().apply(at(30), routes_of(5, 1));
    fresh.view().apply(at(30), announcement_of(1, 2));
    fresh.view_confirmed(at(30), at(2), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::open));
}

TEST(packet_balancer, waiting_opening_without_route_is_reset_after_the_read) {
    packet_balancer fresh{packet_balancer_options{
        .domain = test_domain, .agent_port = agent_port}};
    fresh.start(at(0), sink);
    auto flow = flow_of(1);
    flow.service.port = 444;
    fresh.handle_caller(at(1), opening_packet(flow), sink);
    CHECK(sink.resets.empty());
    fresh.view().apply(at(30), routes_of(5, 1));
    fresh.view_confirmed(at(30), at(2), sink);
    CHECK_EQUAL(1, sink.resets.size());
}

// A balancer whose own link is congested hears from no agent in time. Asking
// ever more agents then multiplied its traffic: 30 datagrams for an opening.
TEST(packet_balancer, openings_without_any_answer_are_not_multiplied) {
    constexpr std::uint16_t openings = 200;
    for (std::uint16_t n = 1; n <= openings; ++n) {
        core.handle_caller(at(n * 5), opening_packet(flow_of(n)), sink);
        core.tick(at(n * 5), sink);
    }
    CHECK(sink.count(agent_packet_kind::open) < openings * 3 / 2);
}

// The same for a balancer that one dead agent does not answer: each of its
// openings goes elsewhere.
TEST(packet_balancer, openings_at_one_dead_agent_all_go_elsewhere) {
    std::size_t held = 0;
    for (std::uint16_t n = 1; n <= 200; ++n) {
        core.handle_caller(at(n * 100), opening_packet(flow_of(n)), sink);
        if (sink.sent.back().to == agent_address(1))
            core.tick(at(n * 100 + 50), sink);
        auto const agent = sink.sent.back().to;
        if (agent != agent_address(1)) {
            hold(agent, flow_of(n), n * 100 + 51);
            ++held;
        }
    }
    CHECK_EQUAL(200, held);
}

// Asking others for an opening that waits at one agent would multiply the load
// when it is highest.
TEST(packet_balancer, queued_opening_is_not_sent_to_others) {
    open(flow_of(1), 0);
    queue(decline_all(flow_of(1), 1), flow_of(1), 2);
    sink.clear();
    for (int ms = 50; ms < 1300; ms += 50)
        core.tick(at(ms), sink);
    CHECK_EQUAL(0, sink.sent.size());
    CHECK(sink.resets.empty());
}

TEST(packet_balancer, opening_queued_at_an_agent_that_died_goes_elsewhere) {
    open(flow_of(1), 0);
    auto const agent = decline_all(flow_of(1), 1);
    queue(agent, flow_of(1), 2);
    sink.clear();
    core.handle_caller(at(200), opening_packet(flow_of(1)), sink);
    CHECK(sink.sent.back().to == agent);
    CHECK(sink.sent.back().message.may_queue);
    for (int ms = 210; ms < 400; ms += 10)
        core.tick(at(ms), sink);
    CHECK(sink.events.end() != std::find(sink.events.begin(), sink.events.end(),
                                   packet_event::opening_reassigned));
}

TEST(packet_balancer, opening_that_lost_its_place_is_placed_anew) {
    open(flow_of(1), 0);
    auto const agent = decline_all(flow_of(1), 1);
    queue(agent, flow_of(1), 2);
    sink.clear();
    decline(agent, flow_of(1), refusal::draining, 20);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().to != agent);
    CHECK(!sink.sent.back().message.may_queue);
}

// The first agents that answer after a power loss do so before others have
// started; waiting for the caller's copy cost 400 ms or the whole attempt.
TEST(packet_balancer, opening_out_of_repetitions_goes_on_once_agents_answer) {
    for (std::uint16_t n = 1; n <= 200; ++n)
        core.handle_caller(at(0), opening_packet(flow_of(n)), sink);
    for (int ms = 10; ms <= 300; ms += 10)
        core.tick(at(ms), sink);
    auto const before = sink.count(agent_packet_kind::open);
    CHECK(before < 300);
    for (std::uint16_t n = 1; n <= 100; ++n)
        hold(agent_address(1), flow_of(n), 310);
    for (int ms = 320; ms <= 400; ms += 10)
        core.tick(at(ms), sink);
    CHECK(sink.count(agent_packet_kind::open) > before);
}

// With 44 agents an opening in an overload was declined 44 times.
TEST(packet_balancer, opening_asks_few_full_agents_before_it_is_queued) {
    for (std::uint32_t n = 4; n <= 40; ++n)
        core.view().apply(at(0), announcement_of(n, 1 + n));
    open(flow_of(1), 0);
    for (int n = 0; n != 40 && !sink.sent.back().message.may_queue; ++n)
        decline(sink.sent.back().to, flow_of(1), refusal::overloaded, 1);
    CHECK(sink.sent.size() <= packet_balancer_options{}.max_declines + 1);
}

TEST(packet_balancer, opening_tells_the_agent_how_old_it_is) {
    auto copy = opening_packet(flow_of(1));
    copy.opening_age = std::chrono::milliseconds(600);
    core.handle_caller(at(0), copy, sink);
    CHECK_EQUAL(600, sink.sent.back().message.age_ms);
    decline(sink.sent.back().to, flow_of(1), refusal::overloaded, 30);
    CHECK_EQUAL(630, sink.sent.back().message.age_ms);
}

// On-call engineers would look for broken links where slots are short.
TEST(packet_balancer, opening_given_up_in_a_queue_is_logged_as_overloaded) {
    open(flow_of(1), 0);
    queue(decline_all(flow_of(1), 1), flow_of(1), 2);
    core.tick(at(700), sink);
    core.tick(at(1450), sink);
    CHECK(sink.last_reason_of(packet_event::opening_abandoned) ==
          refusal::overloaded);
}

TEST(packet_balancer, opening_that_nobody_answers_is_logged_as_unanswered) {
    open(flow_of(1), 0);
    for (int ms = 50; ms <= 1450; ms += 50)
        core.tick(at(ms), sink);
    CHECK(sink.last_reason_of(packet_event::opening_abandoned) ==
          refusal::unanswered);
}
