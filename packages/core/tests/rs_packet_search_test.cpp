#include "rs_packet_balancer_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_balancer_search, packet_balancer_fixture){};

TEST(packet_balancer_search, unknown_flow_is_searched_for_at_all_agents) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    CHECK_EQUAL(3, sink.count(agent_packet_kind::locate));
}

// After a power loss no backend server holds the earlier flows. Without a
// reset, each caller waited two seconds for its timeout.
TEST(
    packet_balancer_search, flow_held_by_no_agent_is_reset_after_a_newer_read) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    reply_not_held_by_all(flow_of(1), 22);
    CHECK(sink.resets.empty());
    CHECK_EQUAL(1, sink.refreshes);
    sink.sent.clear();
    core.view_confirmed(at(40), at(23), sink);
    CHECK_EQUAL(0, sink.count(agent_packet_kind::locate));
    CHECK_EQUAL(1, sink.resets.size());
    CHECK_EQUAL(7, sink.resets[0].second);
}

// A backend server that is not in the view yet may hold the flow, and a read
// that began before the search may not include it either.
TEST(packet_balancer_search, rejected_flow_is_not_reset_on_an_older_read) {
    core.handle_caller(at(10), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(30), sink);
    reply_not_held_by_all(flow_of(1), 32);
    CHECK_EQUAL(1, sink.refreshes);
    core.view_confirmed(at(40), at(9), sink);
    reply_not_held_by_all(flow_of(1), 42);
    CHECK(sink.resets.empty());
}

// Searches after a power loss each waited for another read, although one that
// began during the search is sufficient.
TEST(packet_balancer_search, read_that_began_during_the_search_is_sufficient) {
    core.handle_caller(at(10), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(30), sink);
    core.view_confirmed(at(40), at(11), sink);
    CHECK(sink.resets.empty());
    reply_not_held_by_all(flow_of(1), 42);
    CHECK_EQUAL(1, sink.resets.size());
    CHECK_EQUAL(0, sink.refreshes);
}

// The agent that has not replied may be restarting beside the backend server
// that holds the flow.
TEST(
    packet_balancer_search, flow_is_not_reset_while_one_agent_has_not_replied) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    for (int round = 0; round != 3; ++round) {
        reply_not_held_by_all(flow_of(1), 2, 2);
        core.view_confirmed(at(20), at(3), sink);
    }
    CHECK(sink.resets.empty());
}

// Queries with the whole packet to 44 agents saturated a 10 Mbit/s link.
TEST(packet_balancer_search,
    search_queries_without_the_packet_and_once_at_a_time) {
    for (int n = 0; n != 5; ++n)
        core.handle_caller(at(n), caller_packet_of(flow_of(1), 7), sink);
    CHECK_EQUAL(3, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent.back().packet.empty());
}

TEST(packet_balancer_search, packets_retained_in_a_search_go_to_the_holder) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.handle_caller(at(1), caller_packet_of(flow_of(1), 8), sink);
    sink.clear();
    reply_held(agent_address(2), flow_of(1), 2, 0);
    CHECK_EQUAL(2, sink.count(agent_packet_kind::forward));
    CHECK(sink.sent[0].to == agent_address(2));
}

// A restarted agent can find out whether its backend server holds a flow only
// by passing it a packet. When the packet went to all agents, it was passed on
// 88 times per flow after a power loss.
TEST(packet_balancer_search, only_an_uncertain_agent_is_sent_the_packet) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    sink.clear();
    core.tick(at(30), sink);
    CHECK_EQUAL(3, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent.back().message.must_reply);
    CHECK(sink.sent.back().packet.empty());
    sink.clear();
    reply_not_held(2, flow_of(1), 31, true);
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].to == agent_address(2));
    CHECK_EQUAL(packet_bytes.size(), sink.sent[0].packet.size());
}

// A query without the packet would only make the agent say again that it is
// uncertain. Its backend server needs longer to respond than a query, so the
// agents of the other failure domains are queried later.
TEST(packet_balancer_search,
    agent_known_to_be_uncertain_is_sent_the_packet_at_once) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(30), sink);
    reply_not_held(1, flow_of(1), 31, true);
    sink.clear();
    core.handle_caller(at(100), caller_packet_of(flow_of(2), 7), sink);
    for (auto const& it : sink.sent)
        CHECK(it.packet.empty() == (it.to != agent_address(1)));
    CHECK_EQUAL(3, sink.sent.size());
    sink.clear();
    core.tick(at(115), sink);
    CHECK(sink.sent.empty());
    core.tick(at(145), sink);
    CHECK(std::any_of(sink.sent.begin(), sink.sent.end(), [](auto const& it) {
        return it.message.flow == flow_of(2) && it.message.must_reply;
    }));
}

// After a power loss every flow is searched for while callers retransmit. On a
// slow link, the unlimited searches delayed each other for 15 seconds.
TEST(packet_balancer_search, unsuccessful_searches_back_off_and_are_limited) {
    for (int ms = 0; ms < 950; ms += 50) {
        for (std::uint16_t n = 1; n <= 400; ++n)
            core.handle_caller(at(ms), caller_packet_of(flow_of(n), 7), sink);
        core.tick(at(ms + 20), sink);
    }
    constexpr packet_balancer_options defaults;
    CHECK(sink.count(agent_packet_kind::locate) * message_overhead <=
          defaults.search_bytes_per_second + 3 * message_overhead);
    core.tick(at(4900), sink); // Removes these searches.
    sink.clear();
    core.handle_caller(at(5000), caller_packet_of(flow_of(900), 7), sink);
    for (int ms = 5000; ms < 6000; ms += 20) {
        core.handle_caller(at(ms), caller_packet_of(flow_of(900), 7), sink);
        core.tick(at(ms + 11), sink);
    }
    // Three agents; the first stage, then queries at about 100, 300 and 700 ms.
    constexpr std::size_t rounds = 5;
    CHECK(sink.count(agent_packet_kind::locate) <= 3 * rounds);
}

// The caller retransmits while the read is in progress. A balancer with an
// outdated view took the second round of `not_held` replies as final and reset
// a flow that was served by a backend server missing in its view.
TEST(packet_balancer_search,
    rejected_flow_is_not_reset_before_the_read_has_ended) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    reply_not_held_by_all(flow_of(1), 22);
    core.handle_caller(at(300), caller_packet_of(flow_of(1), 7), sink);
    reply_not_held_by_all(flow_of(1), 302);
    CHECK(sink.resets.empty());
    core.view().apply(at(390), announcement_of(4, 9));
    sink.clear();
    core.view_confirmed(at(400), at(23), sink);
    CHECK(sink.resets.empty());
    CHECK_EQUAL(1, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent[0].to == agent_address(4));
    reply_held(agent_address(4), flow_of(1), 402);
    CHECK(sink.resets.empty());
}

// At the limit of search messages per second no query is sent; a missing query
// does not count as a `not_held` reply.
TEST(packet_balancer_search,
    flow_is_not_reset_by_a_read_while_queries_are_delayed) {
    packet_balancer small{packet_balancer_options{.domain = test_domain,
        .agent_port = agent_port,
        .search_bytes_per_second = message_overhead * 4 * 3}};
    small.start(at(0), sink);
    small.view().apply(at(0), routes_of(5, 1));
    for (std::uint32_t n = 1; n <= 3; ++n)
        small.view().apply(at(0), announcement_of(n, 1 + n));
    small.view_confirmed(at(0), at(0), sink);
    small.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    for (std::uint32_t n = 1; n <= 3; ++n)
        small.handle(at(5), agent_address(n),
            {.kind = agent_packet_kind::not_held,
                .is_locate_reply = true,
                .service = test_service,
                .flow = flow_of(1)},
            nullptr, sink);
    small.view().apply(at(10), announcement_of(4, 9));
    small.view_confirmed(at(20), at(6), sink);
    CHECK(sink.resets.empty());
}

// The agent of a removed backend server never replies. When the other agents
// rejected the flow before the balancer learned of the removal, the search
// never ended.
TEST(packet_balancer_search,
    flow_is_reset_after_the_grace_period_of_a_removed_agent) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    reply_not_held_by_all(flow_of(1), 22, 2);
    core.view().apply(at(30), {.name = "backend/3", .revision = 9});
    for (int ms = 40; ms < 2000; ms += 20)
        core.tick(at(ms), sink);
    CHECK(sink.resets.empty());
    pass_time_with_reads(2000, 2900);
    CHECK_EQUAL(1, sink.resets.size());
}

// A lost query or reply delayed the search until the caller's next packet.
TEST(packet_balancer_search,
    agent_without_reply_is_queried_again_without_a_packet) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    reply_not_held_by_all(flow_of(1), 22, 2);
    sink.clear();
    core.tick(at(150), sink);
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].to == agent_address(3));
}

// Hosts that do not restart after a power loss stay announced for seconds.
// Waiting for their agents' replies delayed the reset of every lost flow.
TEST(packet_balancer_search, unresponsive_agent_does_not_block_a_reset) {
    auto const search = [&](std::uint16_t port, int ms) {
        core.handle_caller(at(ms), caller_packet_of(flow_of(port), 7), sink);
        core.tick(at(ms + 11), sink);
        reply_not_held_by_all(flow_of(port), ms + 12, 2);
    };
    // The other agents reply whenever they are checked: if none replies, the
    // balancer is isolated and no agent counts as unresponsive.
    auto const pass_time = [&](int from, int to) {
        for (int ms = from; ms < to; ms += 100) {
            pass_time_with_reads(ms, std::min(ms + 100, to));
            for (std::uint32_t n = 1; n <= 2; ++n)
                deliver_reply(agent_address(n),
                    {.kind = agent_packet_kind::listed, .route_version = 5},
                    std::min(ms + 100, to));
        }
    };
    search(1, 0);
    pass_time(20, 1400);
    CHECK(sink.resets.empty());
    pass_time(1400, 2400);
    CHECK_EQUAL(1, sink.resets.size());
    // The next search does not wait as long.
    search(2, 2500);
    pass_time(2520, 2800);
    CHECK_EQUAL(2, sink.resets.size());
}

// One lost datagram does not make an agent unresponsive.
TEST(packet_balancer_search,
    one_lost_query_does_not_make_an_agent_unresponsive) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    reply_held(agent_address(1), flow_of(1), 21);
    core.handle_caller(at(3000), caller_packet_of(flow_of(2), 7), sink);
    core.tick(at(3011), sink);
    reply_not_held_by_all(flow_of(2), 3012, 2);
    pass_time_with_reads(3020, 3400);
    CHECK(sink.resets.empty());
}
