#include "rs_packet_agent_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_agent_search, packet_agent_fixture){};

// After a restart only the backend server knows which flows it holds.
TEST(packet_agent_search, unknown_flow_is_probed_at_the_backend_server) {
    forward(flow_of(1), 101, 0);
    CHECK_EQUAL(1, sink.to_backend);
    core.handle_backend(at(1), backend_packet_of(flow_of(1)), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::held));
}

// Packets that repeatedly reach backend servers that do not hold the flow break
// it.
TEST(packet_agent_search, returned_flow_is_not_probed_again) {
    forward(flow_of(1), 101, 0);
    core.handle_backend(
        at(1), returned(caller_packet_of(flow_of(1), 101)), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::not_held));
    forward(flow_of(1), 101, 200, agent_packet_kind::locate);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(2, sink.count(agent_packet_kind::not_held));
}

TEST(packet_agent_search,
    agent_started_before_its_backend_server_probes_no_unknown_flow) {
    packet_agent first{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .start_unix_ms = 1000}};
    first.start(at(0), sink);
    first.view_changed(at(0), sink);
    auto change = announcement_of(1, 2);
    std::get<backend_announcement>(change.content).start_unix_ms = 1500;
    first.view().apply(at(1), change);
    first.view_changed(at(1), sink);
    deliver(first, at(2), balancer_one,
        message(agent_packet_kind::forward, flow_of(1)),
        caller_packet_of(flow_of(1), 7));
    CHECK_EQUAL(0, sink.to_backend);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::not_held));
}

// The announcement of a running backend server may have expired. An agent that
// restarts in that time does not know the server's flows.
TEST(packet_agent_search,
    agent_started_after_its_backend_server_probes_unknown_flow) {
    packet_agent second{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .start_unix_ms = 9000}};
    second.start(at(0), sink);
    second.view_changed(at(0), sink);
    auto change = announcement_of(1, 2);
    std::get<backend_announcement>(change.content).start_unix_ms = 1500;
    second.view().apply(at(1), change);
    second.view_changed(at(1), sink);
    deliver(second, at(2), balancer_one,
        message(agent_packet_kind::forward, flow_of(1)),
        caller_packet_of(flow_of(1), 7));
    CHECK_EQUAL(1, sink.to_backend);
}

// A backend server that has lost its flows cannot serve them. A reset saves the
// caller the wait for its timeout.
TEST(packet_agent_search, open_flow_that_the_backend_server_lost_is_reset) {
    establish(flow_of(1), 0);
    forward(flow_of(1), 101, 1);
    core.handle_backend(
        at(2), returned(caller_packet_of(flow_of(1), 101)), sink);
    CHECK_EQUAL(1, sink.resets.size());
}

// The first stage of a search has no packet: agents that do not know the flow
// send no reply, and nothing reaches the backend server.
TEST(packet_agent_search,
    search_without_packet_gets_a_reply_from_the_holder_only) {
    establish(flow_of(1), 0);
    sink.clear();
    for (std::uint16_t const n : {1, 2}) {
        auto request = message(agent_packet_kind::locate, flow_of(n));
        request.packet = {};
        request.handshake = 101;
        core.handle(at(5), balancer_two, request, nullptr, sink);
    }
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].message.kind == agent_packet_kind::held);
    CHECK_EQUAL(0, sink.to_backend);
}

TEST(packet_agent_search, query_that_requires_a_reply_always_gets_one) {
    establish(flow_of(1), 0);
    CHECK(query_flow(core, flow_of(1), 1).kind == agent_packet_kind::held);
    auto const other_opening = query_flow(core, flow_of(1), 2, 777);
    CHECK(other_opening.kind == agent_packet_kind::not_held);
    CHECK(!other_opening.is_uncertain);
    // The backend server was announced before this agent's first read.
    auto const unknown = query_flow(core, flow_of(2), 3);
    CHECK(unknown.kind == agent_packet_kind::not_held);
    CHECK(unknown.is_uncertain);
    CHECK_EQUAL(1, sink.to_backend);
}

// The backend server still responds on a flow that both ends have closed.
TEST(packet_agent_search, closed_flow_is_reported_as_held) {
    establish(flow_of(1), 0);
    auto finish = caller_packet_of(flow_of(1), 101);
    finish.is_finish = true;
    deliver(core, at(1), balancer_one,
        message(agent_packet_kind::forward, flow_of(1)), finish);
    finish = backend_packet_of(flow_of(1));
    finish.is_finish = true;
    core.handle_backend(at(2), finish, sink);
    CHECK(query_flow(core, flow_of(1), 3).kind == agent_packet_kind::held);
}

// After a power loss, agents read the announcements from before it, probed
// every unknown flow at their backend servers and delayed openings.
TEST(packet_agent_search,
    flow_table_is_complete_if_the_backend_server_started_later) {
    packet_agent restarted{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .start_unix_ms = 9000}};
    restarted.start(at(0), sink);
    auto change = announcement_of(1, 2);
    auto& announced = std::get<backend_announcement>(change.content);
    announced.start_unix_ms = 1500;
    restarted.view().apply(at(1), change);
    restarted.view_changed(at(1), sink);
    CHECK(query_flow(restarted, flow_of(1), 2).is_uncertain);
    change.revision = 3;
    announced.start_unix_ms = 9100;
    restarted.view().apply(at(3), change);
    restarted.view_changed(at(3), sink);
    CHECK(!query_flow(restarted, flow_of(1), 4).is_uncertain);
}

// If the backend server started long before the agent, the agent's previous
// process may have forwarded its flows.
TEST(packet_agent_search,
    flow_table_is_incomplete_if_the_backend_server_started_earlier) {
    packet_agent restarted{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .start_unix_ms = 9000}};
    restarted.start(at(0), sink);
    auto change = announcement_of(1, 2);
    auto& announced = std::get<backend_announcement>(change.content);
    announced.start_unix_ms = 1500;
    restarted.view().apply(at(1), change);
    restarted.view_changed(at(1), sink);
    change.revision = 3;
    announced.start_unix_ms = 7900;
    restarted.view().apply(at(3), change);
    restarted.view_changed(at(3), sink);
    CHECK(query_flow(restarted, flow_of(1), 4).is_uncertain);
}

// After a search the balancer forwards the packets that it has retained,
// including the one used for the probe.
TEST(packet_agent_search, copy_of_the_probe_packet_occupies_no_slot) {
    auto request = caller_packet_of(flow_of(1), 101);
    request.payload_size = 10;
    deliver(core, at(0), balancer_one,
        message(agent_packet_kind::locate, flow_of(1)), request);
    core.handle_backend(at(20), backend_packet_of(flow_of(1)), sink);
    deliver(core, at(21), balancer_one,
        message(agent_packet_kind::forward, flow_of(1)), request);
    CHECK_EQUAL(0, core.in_progress());
}

// Agents collect changes for seconds, so they read late that their backend
// server had restarted, and probed every unknown flow there until then.
TEST(packet_agent_search, agent_awaits_the_announcement_for_a_limited_time) {
    CHECK(core.awaits_announcement(at(100)));
    CHECK(!core.awaits_announcement(at(4000)));
    auto change = announcement_of(1, 2);
    std::get<backend_announcement>(change.content).start_unix_ms = 9500;
    core.view().apply(at(200), change);
    core.view_changed(at(200), sink);
    CHECK(!core.awaits_announcement(at(201)));
}

TEST(packet_agent_search, list_contains_all_flows_that_may_be_held) {
    establish(flow_of(1), 0);
    open(flow_of(2), 1);
    forward(flow_of(3), 7, 2);
    core.handle_backend(at(3), returned(caller_packet_of(flow_of(3), 7)), sink);
    auto query = message(agent_packet_kind::list, {});
    query.packet = {};
    query.handshake = 9;
    core.handle(at(4), balancer_one, query, nullptr, sink);
    auto const& reply = sink.sent.back();
    CHECK(reply.message.kind == agent_packet_kind::listed);
    CHECK_EQUAL(9, reply.message.handshake);
    CHECK(reply.message.is_uncertain);
    auto const flows = decode_flow_list(reply.packet);
    CHECK_EQUAL(2, flows.size());
    for (std::uint16_t const port : {1, 2})
        CHECK(std::binary_search(
            flows.begin(), flows.end(), hash_value(flow_of(port))));
}

// Flows missing in a list count as not held, so no incomplete list may be sent.
TEST(packet_agent_search, too_many_flows_for_a_list_are_refused) {
    for (std::uint16_t n = 0; n <= max_listed_flows; ++n)
        core.handle_backend(at(0), backend_packet_of(flow_of(n + 1)), sink);
    auto query = message(agent_packet_kind::list, {});
    query.packet = {};
    core.handle(at(4), balancer_one, query, nullptr, sink);
    CHECK(last_refusal() == refusal::overloaded);
    CHECK(sink.sent.back().packet.empty());
}

TEST(packet_agent_search, list_for_another_service_is_empty_and_certain) {
    establish(flow_of(1), 0);
    auto query = message(agent_packet_kind::list, {});
    query.packet = {};
    query.service = test_service + 1;
    core.handle(at(4), balancer_one, query, nullptr, sink);
    CHECK(sink.sent.back().packet.empty());
    CHECK(!sink.sent.back().message.is_uncertain);
    CHECK_EQUAL(query.service, sink.sent.back().message.service);
}

// After a power loss, most backend servers are announced before the first read
// of their agents.
TEST(packet_agent_search,
    flow_table_is_complete_if_the_backend_server_started_with_it) {
    for (std::uint64_t const start_unix_ms : {8750, 8600}) {
        packet_agent restarted{packet_agent_options{.service = test_service,
            .domain = test_domain,
            .backend = backend_address(1),
            .start_unix_ms = 9000}};
        restarted.start(at(0), sink);
        auto change = announcement_of(1, 2);
        std::get<backend_announcement>(change.content).start_unix_ms =
            start_unix_ms;
        restarted.view().apply(at(1), change);
        restarted.view_changed(at(1), sink);
        CHECK_EQUAL(start_unix_ms == 8600,
            query_flow(restarted, flow_of(1), 2).is_uncertain);
    }
}

// A backend server that started while the time of day was ahead seemed to have
// started after its agent's second process, which then rejected its open flows.
TEST(packet_agent_search,
    flow_table_is_incomplete_if_the_first_read_names_a_start_in_the_future) {
    for (std::uint64_t const start_unix_ms : {9050, 9600}) {
        packet_agent restarted{packet_agent_options{.service = test_service,
            .domain = test_domain,
            .backend = backend_address(1),
            .start_unix_ms = 9000}};
        restarted.start(at(0), sink);
        auto change = announcement_of(1, 2);
        auto& announced = std::get<backend_announcement>(change.content);
        announced.start_unix_ms = start_unix_ms;
        restarted.view().apply(at(50), change);
        restarted.view_changed(at(50), sink);
        CHECK_EQUAL(start_unix_ms == 9600,
            query_flow(restarted, flow_of(1), 60).is_uncertain);
        // The same start, later: the time that passes does not confirm it.
        restarted.view_changed(at(2000), sink);
        CHECK_EQUAL(start_unix_ms == 9600,
            query_flow(restarted, flow_of(1), 2001).is_uncertain);
        change.revision = 3;
        announced.start_unix_ms = 11000;
        restarted.view().apply(at(2002), change);
        restarted.view_changed(at(2002), sink);
        CHECK(!query_flow(restarted, flow_of(1), 2003).is_uncertain);
    }
}

// After a power loss, the agent of a draining backend server restarts, but the
// backend server does not. The agent stayed uncertain forever, so no lost flow
// was reset.
TEST(packet_agent_search,
    backend_server_that_responds_to_no_probe_holds_no_flow) {
    auto request = caller_packet_of(flow_of(1), 101);
    request.payload_size = 10;
    deliver(core, at(0), balancer_one,
        message(agent_packet_kind::locate, flow_of(1)), request);
    CHECK(query_flow(core, flow_of(1), 900).is_uncertain);
    CHECK(!query_flow(core, flow_of(1), 1100).is_uncertain);
    CHECK(!query_flow(core, flow_of(2), 1100).is_uncertain);
    // A late response shows that the backend server was only slow.
    core.handle_backend(at(1200), backend_packet_of(flow_of(1)), sink);
    CHECK(query_flow(core, flow_of(1), 1201).kind == agent_packet_kind::held);
    CHECK(query_flow(core, flow_of(2), 1201).is_uncertain);
}

// A backend server that holds the flow may not respond to a packet without
// payload.
TEST(packet_agent_search, probe_without_payload_is_inconclusive) {
    forward(flow_of(1), 101, 0);
    CHECK(query_flow(core, flow_of(1), 3000).is_uncertain);
}
