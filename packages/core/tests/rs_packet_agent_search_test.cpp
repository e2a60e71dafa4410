#include "rs_packet_agent_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_agent_search, packet_agent_fixture){};

// After a restart only the backend server knows which flows it holds.
TEST(packet_agent_search, unknown_flow_is_tried_at_the_backend_server) {
    forward(flow_of(1), 101, 0);
    CHECK_EQUAL(1, sink.to_backend);
    core.handle_backend(at(1), backend_packet_of(flow_of(1)), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::held));
}

// Packets that reach other backend servers again and again break the flow.
TEST(packet_agent_search, flow_that_was_returned_is_not_tried_again) {
    forward(flow_of(1), 101, 0);
    core.handle_backend(
        at(1), returned(caller_packet_of(flow_of(1), 101)), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::not_held));
    forward(flow_of(1), 101, 200, agent_packet_kind::locate);
    CHECK_EQUAL(1, sink.to_backend);
    CHECK_EQUAL(2, sink.count(agent_packet_kind::not_held));
}

TEST(packet_agent_search,
    agent_older_than_its_backend_server_tries_no_unknown_flow) {
    packet_agent first{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .started_unix_ms = 1000}};
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

// The announcement of a living backend server may have lapsed: an agent that
// restarts meanwhile does not know its flows.
TEST(packet_agent_search,
    agent_younger_than_its_backend_server_tries_unknown_flow) {
    packet_agent second{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .started_unix_ms = 9000}};
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

// A backend server that lost its flows cannot serve them; the caller need not
// wait for its timeout.
TEST(packet_agent_search, open_flow_that_the_backend_server_lost_is_reset) {
    establish(flow_of(1), 0);
    forward(flow_of(1), 101, 1);
    core.handle_backend(
        at(2), returned(caller_packet_of(flow_of(1), 101)), sink);
    CHECK_EQUAL(1, sink.resets.size());
}

// The first stage of a search has no packet: whoever does not know the flow
// stays silent, and nothing reaches the backend server.
TEST(
    packet_agent_search, search_without_packet_is_answered_by_the_holder_only) {
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

TEST(packet_agent_search, question_to_all_is_answered_by_everyone) {
    establish(flow_of(1), 0);
    CHECK(query_flow(core, flow_of(1), 1).kind == agent_packet_kind::held);
    auto const other_offer = query_flow(core, flow_of(1), 2, 777);
    CHECK(other_offer.kind == agent_packet_kind::not_held);
    CHECK(!other_offer.is_uncertain);
    // This agent found its backend server announced when it started.
    auto const unknown = query_flow(core, flow_of(2), 3);
    CHECK(unknown.kind == agent_packet_kind::not_held);
    CHECK(unknown.is_uncertain);
    CHECK_EQUAL(1, sink.to_backend);
}

// A flow that both ends have closed is still answered by its backend server.
TEST(packet_agent_search, closed_flow_is_not_denied) {
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

// After a power loss agents found the announcements of before, tried every
// unknown flow at their backend servers, and were late with openings.
TEST(packet_agent_search, agent_knows_all_flows_of_a_later_start) {
    packet_agent restarted{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .started_unix_ms = 9000}};
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

// Another process carried the flows of a backend server that has run for long.
TEST(packet_agent_search, agent_is_unsure_of_a_start_before_its_own) {
    packet_agent restarted{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .started_unix_ms = 9000}};
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

// A searching balancer passes on what it has kept, the packet that was tried
// included.
TEST(packet_agent_search, copy_of_the_tried_packet_holds_no_slot) {
    auto request = caller_packet_of(flow_of(1), 101);
    request.payload_size = 10;
    deliver(core, at(0), balancer_one,
        message(agent_packet_kind::locate, flow_of(1)), request);
    core.handle_backend(at(20), backend_packet_of(flow_of(1)), sink);
    deliver(core, at(21), balancer_one,
        message(agent_packet_kind::forward, flow_of(1)), request);
    CHECK_EQUAL(0, core.in_progress());
}

// Collecting changes for seconds, agents learned late that their backend server
// had started anew, and tried every unknown flow there until then.
TEST(packet_agent_search,
    agent_awaits_the_announcement_for_a_while_after_its_start) {
    CHECK(core.awaits_announcement(at(100)));
    CHECK(!core.awaits_announcement(at(4000)));
    auto change = announcement_of(1, 2);
    std::get<backend_announcement>(change.content).start_unix_ms = 9500;
    core.view().apply(at(200), change);
    core.view_changed(at(200), sink);
    CHECK(!core.awaits_announcement(at(201)));
}

TEST(packet_agent_search, list_names_all_flows_that_may_be_here) {
    establish(flow_of(1), 0);
    open(flow_of(2), 1);
    forward(flow_of(3), 7, 2);
    core.handle_backend(at(3), returned(caller_packet_of(flow_of(3), 7)), sink);
    auto query = message(agent_packet_kind::list, {});
    query.packet = {};
    query.handshake = 9;
    core.handle(at(4), balancer_one, query, nullptr, sink);
    auto const& answer = sink.sent.back();
    CHECK(answer.message.kind == agent_packet_kind::listed);
    CHECK_EQUAL(9, answer.message.handshake);
    CHECK(answer.message.is_uncertain);
    auto const flows = decode_flow_list(answer.packet);
    CHECK_EQUAL(2, flows.size());
    for (std::uint16_t const port : {1, 2})
        CHECK(std::binary_search(
            flows.begin(), flows.end(), hash_value(flow_of(port))));
}

// A list that left flows out would deny them.
TEST(packet_agent_search, too_many_flows_make_no_list) {
    for (std::uint16_t n = 0; n <= max_listed_flows; ++n)
        core.handle_backend(at(0), backend_packet_of(flow_of(n + 1)), sink);
    auto query = message(agent_packet_kind::list, {});
    query.packet = {};
    core.handle(at(4), balancer_one, query, nullptr, sink);
    CHECK(last_refusal() == refusal::overloaded);
    CHECK(sink.sent.back().packet.empty());
}

TEST(packet_agent_search, list_for_another_service_is_empty_and_sure) {
    establish(flow_of(1), 0);
    auto query = message(agent_packet_kind::list, {});
    query.packet = {};
    query.service = test_service + 1;
    core.handle(at(4), balancer_one, query, nullptr, sink);
    CHECK(sink.sent.back().packet.empty());
    CHECK(!sink.sent.back().message.is_uncertain);
    CHECK_EQUAL(query.service, sink.sent.back().message.service);
}

// After a power loss most backend servers are announced before their agents
// have read anything.
TEST(packet_agent_search, agent_knows_all_flows_of_a_server_started_with_it) {
    for (std::uint64_t const start_unix_ms : {8750, 8600}) {
        packet_agent restarted{packet_agent_options{.service = test_service,
            .domain = test_domain,
            .backend = backend_address(1),
            .started_unix_ms = 9000}};
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

// A draining backend server does not come back from a power loss, but its agent
// does; unsure for good, it kept every lost flow from its reset.
TEST(packet_agent_search, backend_server_that_answers_no_trial_holds_no_flow) {
    auto request = caller_packet_of(flow_of(1), 101);
    request.payload_size = 10;
    deliver(core, at(0), balancer_one,
        message(agent_packet_kind::locate, flow_of(1)), request);
    CHECK(query_flow(core, flow_of(1), 900).is_uncertain);
    CHECK(!query_flow(core, flow_of(1), 1100).is_uncertain);
    CHECK(!query_flow(core, flow_of(2), 1100).is_uncertain);
    // It was only slow.
    core.handle_backend(at(1200), backend_packet_of(flow_of(1)), sink);
    CHECK(query_flow(core, flow_of(1), 1201).kind == agent_packet_kind::held);
    CHECK(query_flow(core, flow_of(2), 1201).is_uncertain);
}

// A flow that its backend server holds may have nothing to say to a packet
// without payload.
TEST(packet_agent_search, trial_without_payload_proves_nothing) {
    forward(flow_of(1), 101, 0);
    CHECK(query_flow(core, flow_of(1), 3000).is_uncertain);
}
