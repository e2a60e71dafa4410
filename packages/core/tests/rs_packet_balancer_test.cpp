#include "rs_packet_balancer_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_balancer, packet_balancer_fixture){};

TEST(packet_balancer, later_packet_of_held_flow_goes_to_its_agent) {
    auto const agent = open(flow_of(1), 0);
    reply_held(agent, flow_of(1), 1);
    sink.clear();
    core.handle_caller(at(2), caller_packet_of(flow_of(1), 101), sink);
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].to == agent);
    CHECK(sink.sent[0].message.kind == agent_packet_kind::forward);
}

// Evictions from a full cache cost searches, never flows, and are logged for
// operators.
TEST(packet_balancer, full_flow_table_evicts_the_longest_idle_flows) {
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

// Without a retry by the balancer, an opening sent to a failed agent waits 200
// ms for the caller's retransmission.
TEST(packet_balancer, opening_without_reply_goes_to_another_agent) {
    auto const first = open(flow_of(1), 0);
    core.tick(at(50), sink);
    CHECK_EQUAL(2, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().to != first);
}

// Two backend servers may both reply to an opening. Sending the caller's
// packets to the one whose reply it did not accept would break the flow.
TEST(packet_balancer,
    flow_with_two_opening_replies_goes_where_the_caller_accepted) {
    auto const first = open(flow_of(1), 0);
    core.tick(at(50), sink);
    auto const second = sink.sent.back().to;
    reply_held(second, flow_of(1), 55, 500);
    reply_held(first, flow_of(1), 60, 900);
    sink.clear();
    core.handle_caller(at(61), caller_packet_of(flow_of(1), 901), sink);
    CHECK(sink.sent[0].to == first);
}

TEST(packet_balancer, opening_without_free_slot_at_any_agent_is_queued_at_one) {
    open(flow_of(1), 0);
    for (int n = 0; n != 3; ++n)
        reply_declined(sink.sent.back().to, flow_of(1), refusal::overloaded, 1);
    CHECK_EQUAL(4, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().message.may_queue);
    CHECK(sink.resets.empty());
}

// After a power loss each opening was declined by four agents with a backlog
// before it was queued, which multiplied the messages while the agents were
// busiest.
// The opening was queued at the agent with the fewest requests, although all of
// these were as urgent and those of another agent were not.
TEST(packet_balancer, opening_is_queued_where_few_requests_are_as_urgent) {
    open(flow_of(1), 0);
    for (int n = 0; n != 3; ++n) {
        auto const agent = sink.sent.back().to;
        bool const is_busy_with_others = agent == agent_address(2);
        deliver_reply(agent,
            {.kind = agent_packet_kind::declined,
                .why = refusal::overloaded,
                .service = test_service,
                .route_version = 5,
                .in_progress =
                    static_cast<std::uint16_t>(is_busy_with_others ? 6 : 4),
                .urgent =
                    static_cast<std::uint16_t>(is_busy_with_others ? 0 : 4),
                .slots = 2,
                .flow = flow_of(1),
                .packet = packet_bytes},
            1);
    }
    CHECK(sink.sent.back().message.may_queue);
    CHECK(sink.sent.back().to == agent_address(2));
}

TEST(packet_balancer, opening_is_queued_at_once_if_all_agents_have_a_backlog) {
    constexpr std::uint16_t backlog = 4; // Of two slots.
    for (std::uint32_t n = 1; n <= 3; ++n)
        reply_queued(agent_address(n), flow_of(1), 1, backlog);
    sink.clear();
    open(flow_of(2), 2);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().message.may_queue);
    CHECK(sink.sent.back().message.is_service_full);
    reply_held(agent_address(3), flow_of(9), 3);
    CHECK(open(flow_of(3), 4) == agent_address(3));
    CHECK(!sink.sent.back().message.may_queue);
}

// Every full queue means that the opening would be served too late. Trying all
// agents of a large service first would delay the refusal.
TEST(packet_balancer, opening_declined_by_several_full_queues_is_refused) {
    for (std::uint32_t n = 4; n <= 40; ++n)
        core.view().apply(at(0), announcement_of(n, 1 + n));
    open(flow_of(1), 0);
    for (int n = 0; n != 8; ++n)
        reply_declined(sink.sent.back().to, flow_of(1), refusal::overloaded, 1);
    CHECK_EQUAL(8, sink.count(agent_packet_kind::open));
    CHECK_EQUAL(1, sink.resets.size());
}

TEST(packet_balancer, opening_that_no_agent_admits_is_reset_at_once) {
    open(flow_of(1), 0);
    for (int n = 0; n != 3; ++n)
        reply_declined(sink.sent.back().to, flow_of(1), refusal::draining, 1);
    CHECK_EQUAL(1, sink.resets.size());
}

// An agent that has not replied may still admit the opening; a reset would then
// break the flow.
TEST(packet_balancer, opening_with_an_unresponsive_agent_is_not_reset) {
    open(flow_of(1), 0);
    core.tick(at(50), sink);
    reply_declined(sink.sent.back().to, flow_of(1), refusal::draining, 51);
    reply_declined(sink.sent.back().to, flow_of(1), refusal::draining, 52);
    CHECK(sink.resets.empty());
}

TEST(packet_balancer, opening_without_route_is_reset) {
    auto flow = flow_of(1);
    flow.service.port = 444;
    core.handle_caller(at(0), opening_packet(flow), sink);
    CHECK_EQUAL(1, sink.resets.size());
}

// A balancer that the configuration service rejects learns of newer routes from
// the agents. When it refused openings until its next successful read, a
// failure domain lost every opening for nine seconds.
TEST(packet_balancer, opening_declined_for_stale_routes_waits_for_new_ones) {
    open(flow_of(1), 0);
    reply_declined(sink.sent.back().to, flow_of(1), refusal::stale_view, 1, 6);
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

// A version that no store ever had was never read, so the openings declined for
// it waited until their callers gave up.
TEST(packet_balancer, opening_does_not_wait_for_a_version_that_is_never_read) {
    auto const first = open(flow_of(1), 0);
    reply_declined(first, flow_of(1), refusal::stale_view, 1, forged_version);
    sink.clear();
    for (int ms = 2; ms <= 130; ++ms)
        core.tick(at(ms), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::open));
    CHECK(sink.sent[0].to != first);
    CHECK(sink.resets.empty());
}

// An agent that names no newer version has nothing that could be waited for.
TEST(packet_balancer, opening_declined_without_a_newer_version_moves_on) {
    auto const first = open(flow_of(1), 0);
    sink.clear();
    reply_declined(first, flow_of(1), refusal::stale_view, 1, 5);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::open));
    CHECK(sink.sent[0].to != first);
}

// Each message with a version that no store ever had cost a read and a log
// line, thousands in a few seconds.
TEST(packet_balancer, looks_for_forged_versions_are_rare_and_follow_an_edit) {
    for (int ms = 0; ms < 10'000; ++ms)
        deliver_reply(agent_address(1),
            {.kind = agent_packet_kind::queued,
                .service = test_service,
                .route_version = forged_version},
            ms);
    CHECK(sink.looks <= 15);
    auto const looks = sink.looks;
    core.view().apply(at(10'000), routes_of(6, 9));
    reply_held(agent_address(1), flow_of(1), 10'001);
    CHECK_EQUAL(looks, sink.looks);
    reply_declined(
        agent_address(1), flow_of(1), refusal::overloaded, 10'002, 7);
    CHECK_EQUAL(looks + 1, sink.looks);
}

// No request was served while another writer had entries with the addresses of
// the backend servers.
TEST(packet_balancer, announcement_of_another_service_takes_no_address) {
    for (std::uint32_t n = 1; n <= 3; ++n) {
        auto change = announcement_of(n, 10 + n);
        change.name = "backend/0" + std::to_string(n);
        auto& content = std::get<backend_announcement>(change.content);
        content.service = test_service + 1;
        content.start_unix_ms = 50;
        content.slots = 7;
        core.view().apply(at(0), change);
    }
    core.handle_caller(at(0), opening_packet(flow_of(1)), sink);
    CHECK(sink.resets.empty());
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].message.kind == agent_packet_kind::open);
    CHECK_EQUAL(2, sink.sent[0].message.slots);
}

// A balancer that dropped openings received before its first read delayed them
// by 200 ms, until the callers' retransmissions.
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

// A balancer whose own link is congested receives no reply in time. Trying ever
// more agents multiplied its traffic, to 30 datagrams per opening.
TEST(packet_balancer, openings_without_any_reply_are_not_multiplied) {
    constexpr std::uint16_t openings = 200;
    for (std::uint16_t n = 1; n <= openings; ++n) {
        core.handle_caller(at(n * 5), opening_packet(flow_of(n)), sink);
        core.tick(at(n * 5), sink);
    }
    CHECK(sink.count(agent_packet_kind::open) < openings * 3 / 2);
}

// The limit on retries must not affect a balancer with one failed agent: each
// opening sent there is retried at another agent.
TEST(packet_balancer, openings_at_one_failed_agent_are_retried_elsewhere) {
    std::size_t held = 0;
    for (std::uint16_t n = 1; n <= 200; ++n) {
        core.handle_caller(at(n * 100), opening_packet(flow_of(n)), sink);
        if (sink.sent.back().to == agent_address(1))
            core.tick(at(n * 100 + 50), sink);
        auto const agent = sink.sent.back().to;
        if (agent != agent_address(1)) {
            reply_held(agent, flow_of(n), n * 100 + 51);
            ++held;
        }
    }
    CHECK_EQUAL(200, held);
}

// Sending an opening that is queued at one agent to others too would multiply
// the load when it is highest.
TEST(packet_balancer, queued_opening_is_not_sent_to_other_agents) {
    open(flow_of(1), 0);
    reply_queued(reply_declined_by_all(flow_of(1), 1), flow_of(1), 2);
    sink.clear();
    for (int ms = 50; ms < 1300; ms += 50)
        core.tick(at(ms), sink);
    CHECK_EQUAL(0, sink.sent.size());
    CHECK(sink.resets.empty());
}

TEST(packet_balancer, opening_queued_at_a_failed_agent_is_reassigned) {
    open(flow_of(1), 0);
    auto const agent = reply_declined_by_all(flow_of(1), 1);
    reply_queued(agent, flow_of(1), 2);
    sink.clear();
    core.handle_caller(at(200), opening_packet(flow_of(1)), sink);
    CHECK(sink.sent.back().to == agent);
    CHECK(sink.sent.back().message.may_queue);
    for (int ms = 210; ms < 400; ms += 10)
        core.tick(at(ms), sink);
    CHECK(sink.events.end() != std::find(sink.events.begin(), sink.events.end(),
                                   packet_event::opening_reassigned));
}

TEST(packet_balancer, opening_removed_from_a_queue_is_placed_again) {
    open(flow_of(1), 0);
    auto const agent = reply_declined_by_all(flow_of(1), 1);
    reply_queued(agent, flow_of(1), 2);
    sink.clear();
    reply_declined(agent, flow_of(1), refusal::draining, 20);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().to != agent);
    CHECK(!sink.sent.back().message.may_queue);
}

// After a power loss, the first agents reply before others have started.
// Openings that had used up the retry budget waited for the caller's
// retransmission, which cost 400 ms or the whole attempt.
TEST(
    packet_balancer, opening_without_retry_tokens_continues_once_agents_reply) {
    for (std::uint16_t n = 1; n <= 200; ++n)
        core.handle_caller(at(0), opening_packet(flow_of(n)), sink);
    for (int ms = 10; ms <= 300; ms += 10)
        core.tick(at(ms), sink);
    auto const before = sink.count(agent_packet_kind::open);
    CHECK(before < 300);
    for (std::uint16_t n = 1; n <= 100; ++n)
        reply_held(agent_address(1), flow_of(n), 310);
    for (int ms = 320; ms <= 400; ms += 10)
        core.tick(at(ms), sink);
    CHECK(sink.count(agent_packet_kind::open) > before);
}

// Without the limit, an opening under overload was declined 44 times in a
// service with 44 agents.
TEST(packet_balancer, opening_tries_few_full_agents_before_it_is_queued) {
    for (std::uint32_t n = 4; n <= 40; ++n)
        core.view().apply(at(0), announcement_of(n, 1 + n));
    open(flow_of(1), 0);
    for (int n = 0; n != 40 && !sink.sent.back().message.may_queue; ++n)
        reply_declined(sink.sent.back().to, flow_of(1), refusal::overloaded, 1);
    CHECK(sink.sent.size() <= packet_balancer_options{}.max_declines + 1);
    CHECK(!sink.sent.back().message.is_service_full);
}

TEST(packet_balancer, opening_message_carries_its_age) {
    auto copy = opening_packet(flow_of(1));
    copy.opening_age = std::chrono::milliseconds(600);
    core.handle_caller(at(0), copy, sink);
    CHECK_EQUAL(600, sink.sent.back().message.age_ms);
    reply_declined(sink.sent.back().to, flow_of(1), refusal::overloaded, 30);
    CHECK_EQUAL(630, sink.sent.back().message.age_ms);
}

// Logged as unanswered, the event would send on-call engineers looking for
// broken links when the cause is a lack of free slots.
TEST(packet_balancer, opening_abandoned_in_a_queue_is_logged_as_overloaded) {
    open(flow_of(1), 0);
    reply_queued(reply_declined_by_all(flow_of(1), 1), flow_of(1), 2);
    core.tick(at(700), sink);
    core.tick(at(1450), sink);
    CHECK(sink.last_reason_of(packet_event::opening_abandoned) ==
          refusal::overloaded);
}

TEST(packet_balancer, opening_without_any_reply_is_logged_as_unanswered) {
    open(flow_of(1), 0);
    for (int ms = 50; ms <= 1450; ms += 50)
        core.tick(at(ms), sink);
    CHECK(sink.last_reason_of(packet_event::opening_abandoned) ==
          refusal::unanswered);
}

// Openings from a port that a closed flow had used went only to the agent of
// that flow, even if it declined them.
TEST(packet_balancer, opening_declined_by_the_cached_agent_goes_to_another) {
    auto const first = open(flow_of(1), 0);
    reply_held(first, flow_of(1), 1);
    sink.clear();
    CHECK(open(flow_of(1), 2000) == first);
    reply_declined(first, flow_of(1), refusal::draining, 2001);
    CHECK_EQUAL(2, sink.count(agent_packet_kind::open));
    CHECK(sink.sent.back().to != first);
    reply_held(sink.sent.back().to, flow_of(1), 2002, 500);
    auto const second = sink.sent.back().to;
    core.handle_caller(at(2003), caller_packet_of(flow_of(1), 501), sink);
    CHECK(sink.sent.back().message.kind == agent_packet_kind::forward);
    CHECK(sink.sent.back().to == second);
}

// The agent of an open flow that has restarted takes a late copy of its opening
// for a new one.
TEST(
    packet_balancer, opening_declined_by_cached_and_all_agents_resets_nothing) {
    auto const first = open(flow_of(1), 0);
    reply_held(first, flow_of(1), 1);
    open(flow_of(1), 600);
    for (int n = 0; n != 3; ++n)
        reply_declined(
            sink.sent.back().to, flow_of(1), refusal::draining, 601 + n);
    CHECK_EQUAL(4, sink.count(agent_packet_kind::open));
    for (int ms = 620; ms <= 3000; ms += 20)
        core.tick(at(ms), sink);
    CHECK(sink.resets.empty());
}
