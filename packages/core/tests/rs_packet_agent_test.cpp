#include "rs_packet_agent_fixture.hpp"

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_agent, packet_agent_fixture){
    /// Delivers the finish of both ends of the first flow.
    void close_flow(int ms){auto finish = caller_packet_of(flow_of(1), 101);
finish.is_finish = true;
deliver(core, at(ms), balancer_one,
    message(agent_packet_kind::forward, flow_of(1)), finish);
finish = backend_packet_of(flow_of(1));
finish.is_finish = true;
core.handle_backend(at(ms), finish, sink);
}
}
;

TEST(packet_agent, opening_reaches_the_backend_server_and_is_reported) {
    establish(flow_of(1), 0);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::held));
    CHECK_EQUAL(100, sink.sent.back().message.handshake);
    CHECK_EQUAL(1, sink.to_caller.size());
}

// An agent that had not read its backend server's announcement yet admitted
// every opening of the backlog after a power loss, which overloaded the backend
// server so that it shed them.
TEST(packet_agent, openings_before_the_first_read_are_limited) {
    packet_agent fresh{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1)}};
    fresh.start(at(0), sink);
    for (std::uint16_t n = 1; n <= 5; ++n) {
        auto opening = message(agent_packet_kind::open, flow_of(n));
        opening.slots = 2;
        deliver(
            fresh, at(n), balancer_one, opening, opening_packet(flow_of(n)));
    }
    CHECK_EQUAL(2, sink.to_backend);
}

// One message with a version that no store ever had made an agent decline every
// later opening, for as long as the process ran.
TEST(packet_agent, version_that_only_a_message_names_declines_no_opening) {
    core.view().apply(at(0), routes_of(5, 9));
    core.view_changed(at(0), sink);
    open(flow_of(1), 0, forged_version);
    open(flow_of(2), 1, 5);
    CHECK_EQUAL(2, sink.to_backend);
    CHECK_EQUAL(0, sink.count(agent_packet_kind::declined));
}

// Agents repeated such a version in all their replies, so that every balancer
// read from them without a pause.
TEST(packet_agent, version_that_only_a_message_names_is_not_repeated) {
    core.view().apply(at(0), routes_of(5, 9));
    core.view_changed(at(0), sink);
    establish(flow_of(1), 0);
    open(flow_of(2), 1, forged_version);
    auto const reply = query_flow(core, flow_of(1), 2);
    CHECK(reply.kind == agent_packet_kind::held);
    CHECK_EQUAL(5, reply.route_version);
    core.stop(at(3), sink);
    CHECK_EQUAL(5, sink.sent.back().message.route_version);
}

TEST(packet_agent, newer_version_in_a_message_leads_to_a_look_at_its_sender) {
    core.view().apply(at(0), routes_of(5, 9));
    open(flow_of(1), 1, 6);
    CHECK(sink.newer_peer == balancer_one);
    CHECK_EQUAL(1, sink.looks);
}

// A stream of forged versions must not cost a read for each message, and an
// edit in its midst must still be read at once.
TEST(packet_agent, looks_for_forged_versions_are_rare_and_follow_an_edit) {
    core.view().apply(at(0), routes_of(5, 9));
    for (int ms = 0; ms < 10'000; ++ms)
        open(flow_of(1), ms, forged_version + static_cast<unsigned>(ms));
    CHECK(sink.looks <= 15);
    core.view().apply(at(10'000), routes_of(6, 10));
    auto const looks = sink.looks;
    open(flow_of(1), 10'001, 7);
    CHECK_EQUAL(looks + 1, sink.looks);
}

// A balancer that has older routes than the agent's own must not bring them
// back.
TEST(packet_agent, opening_by_outdated_routes_is_checked_by_the_agents_own) {
    auto newer = routes_of(6, 9);
    std::get<route_set>(newer.content).routes[0].service = test_service + 1;
    core.view().apply(at(0), newer);
    core.view_changed(at(0), sink);
    open(flow_of(1), 1, 5);
    CHECK(last_refusal() == refusal::other_service);
    CHECK_EQUAL(6, sink.sent.back().message.route_version);
    CHECK_EQUAL(0, sink.to_backend);
}

// All openings of a balancer that could reach the agents, but not the
// configuration service, were lost.
TEST(packet_agent,
    opening_by_outdated_routes_is_checked_against_the_newest_routes) {
    core.view().apply(at(0), routes_of(6, 9));
    open(flow_of(1), 0, 6);
    open(flow_of(2), 1, 5);
    CHECK_EQUAL(2, sink.to_backend);
    auto dropped = flow_of(3);
    dropped.service.port = 444;
    open(dropped, 2, 5);
    CHECK(last_refusal() == refusal::unknown_route);
}

// An address may be reused by a backend server of another service.
TEST(packet_agent, opening_for_another_service_is_declined) {
    auto other = message(agent_packet_kind::open, flow_of(1));
    other.service = test_service + 1;
    deliver(core, at(0), balancer_one, other, opening_packet(flow_of(1)));
    CHECK(last_refusal() == refusal::other_service);
    CHECK_EQUAL(0, sink.to_backend);
}

TEST(packet_agent, opening_at_draining_backend_server_is_declined) {
    auto change = announcement_of(1, 2);
    std::get<backend_announcement>(change.content).is_draining = true;
    core.view().apply(at(0), change);
    open(flow_of(1), 0);
    CHECK(last_refusal() == refusal::draining);
}

// An entry of another writer with the backend server's address stopped its
// openings.
TEST(packet_agent, announcement_of_another_service_drains_no_backend_server) {
    auto change = announcement_of(1, 2);
    change.name = "backend/0";
    auto& content = std::get<backend_announcement>(change.content);
    content.service = test_service + 1;
    content.start_unix_ms = 50;
    content.is_draining = true;
    core.view().apply(at(0), change);
    core.view_changed(at(0), sink);
    open(flow_of(1), 0);
    CHECK_EQUAL(1, sink.to_backend);
}

TEST(packet_agent, opening_in_failure_domain_taken_out_is_declined) {
    core.view().apply(at(0), {.name = "out/1",
                                 .revision = 5,
                                 .content = domain_taken_out{test_domain}});
    open(flow_of(1), 0);
    CHECK(last_refusal() == refusal::domain_out);
}

// The limit applies to the openings of all balancers together, in any window of
// one second.
TEST(packet_agent, cold_backend_server_is_limited_to_its_rate) {
    auto cold = message(agent_packet_kind::open, flow_of(1));
    cold.is_cold = true;
    cold.cold_rate = 3 * cold_rate_units;
    for (std::uint16_t n = 1; n <= 20; ++n) {
        cold.flow = flow_of(n);
        deliver(core, at(n * 45), n % 2 == 0 ? balancer_one : balancer_two,
            cold, opening_packet(cold.flow));
        core.handle_backend(at(n * 45), backend_packet_of(cold.flow), sink);
    }
    CHECK_EQUAL(3, sink.to_backend);
}

TEST(packet_agent, returned_opening_is_declined_with_its_packet) {
    open(flow_of(1), 0);
    core.handle_backend(at(1), returned(opening_packet(flow_of(1))), sink);
    CHECK(last_refusal() == refusal::backend_refused);
    CHECK_EQUAL(packet_bytes.size(), sink.sent.back().packet.size());
}

// The caller uses the connection of another backend server.
TEST(packet_agent, packet_that_acknowledges_another_reply_is_not_forwarded) {
    establish(flow_of(1), 0, 100);
    forward(flow_of(1), 777, 1);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::not_held));
}

TEST(packet_agent, unresponsive_backend_server_gets_one_opening_at_a_time) {
    open(flow_of(1), 0);
    core.tick(at(150), sink);
    open(flow_of(2), 151);
    open(flow_of(3), 152);
    CHECK(last_refusal() == refusal::unresponsive);
    CHECK_EQUAL(2, sink.to_backend);
}

// The announcement of a running backend server may expire. Balancers then
// prefer other candidates, and the agent must not decline as well.
TEST(packet_agent, expired_announcement_alone_declines_no_opening) {
    core.view().apply(at(0), {.name = "backend/1", .revision = 9});
    open(flow_of(1), 100);
    CHECK_EQUAL(1, sink.to_backend);
}

// Open flows were reset if their callers had used the port for another flow
// shortly before.
TEST(packet_agent, port_used_again_starts_a_flow_of_its_own) {
    establish(flow_of(1), 0, 100);
    close_flow(1);
    establish(flow_of(1), 1000, 500);
    forward(flow_of(1), 501, 1001);
    core.tick(at(1100), sink);
    core.tick(at(9000), sink);
    CHECK(query_flow(core, flow_of(1), 9001, 501).kind ==
          agent_packet_kind::held);
}

TEST(packet_agent, late_packets_of_the_ended_flow_do_not_end_the_new_one) {
    establish(flow_of(1), 0, 100);
    close_flow(1);
    open(flow_of(1), 1000);
    close_flow(1001);
    core.handle_backend(at(1002), opening_reply_of(flow_of(1), 500), sink);
    forward(flow_of(1), 501, 1003);
    core.tick(at(1100), sink);
    core.tick(at(9000), sink);
    CHECK(query_flow(core, flow_of(1), 9001, 501).kind ==
          agent_packet_kind::held);
}

// Each sender of a message, also a forged one, got an entry that stayed, and a
// message when the agent left.
TEST(packet_agent, senders_that_are_notified_are_limited) {
    packet_agent_options const defaults;
    for (std::uint32_t n = 0; n != 5000; ++n)
        core.handle(at(0), {.address = 0x0a000000 + n, .port = 7000},
            {.kind = agent_packet_kind::list}, nullptr, sink);
    sink.clear();
    core.stop(at(1), sink);
    CHECK_EQUAL(defaults.max_balancers, sink.count(agent_packet_kind::leaving));
}
