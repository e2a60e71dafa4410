#include "rs_packet_balancer_fixture.hpp"

#include <algorithm>
#include <vector>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP_BASE(packet_balancer_search, packet_balancer_fixture){};

TEST(packet_balancer_search, unknown_flow_is_sought_at_all_agents) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    CHECK_EQUAL(3, sink.count(agent_packet_kind::locate));
}

// After a power loss nobody holds the flows of before, and their callers waited
// for two seconds each.
TEST(packet_balancer_search,
    flow_that_nobody_holds_is_reset_after_a_fresh_read) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    deny_all(flow_of(1), 22);
    CHECK(sink.resets.empty());
    CHECK_EQUAL(1, sink.refreshes);
    sink.sent.clear();
    core.view_confirmed(at(40), at(23), sink);
    CHECK_EQUAL(0, sink.count(agent_packet_kind::locate));
    CHECK_EQUAL(1, sink.resets.size());
    CHECK_EQUAL(7, sink.resets[0].second);
}

// A backend server that this process has not heard of yet may hold the flow; a
// read that began before the flow was sought may not know it either.
TEST(packet_balancer_search, denied_flow_is_not_reset_on_an_old_read) {
    core.handle_caller(at(10), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(30), sink);
    deny_all(flow_of(1), 32);
    CHECK_EQUAL(1, sink.refreshes);
    core.view_confirmed(at(40), at(9), sink);
    deny_all(flow_of(1), 42);
    CHECK(sink.resets.empty());
}

// Searches after a power loss waited for one read after the other.
TEST(packet_balancer_search, read_that_began_during_the_search_is_enough) {
    core.handle_caller(at(10), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(30), sink);
    core.view_confirmed(at(40), at(11), sink);
    CHECK(sink.resets.empty());
    deny_all(flow_of(1), 42);
    CHECK_EQUAL(1, sink.resets.size());
    CHECK_EQUAL(0, sink.refreshes);
}

// The agent of the holder may only be restarting.
TEST(packet_balancer_search, flow_is_not_reset_while_one_agent_is_silent) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    for (int round = 0; round != 3; ++round) {
        deny_all(flow_of(1), 2, 2);
        core.view_confirmed(at(20), at(3), sink);
    }
    CHECK(sink.resets.empty());
}

// A search among 44 agents with whole packets filled a link of 10 Mbit/s.
TEST(
    packet_balancer_search, search_asks_without_the_packet_and_once_at_a_time) {
    for (int n = 0; n != 5; ++n)
        core.handle_caller(at(n), caller_packet_of(flow_of(1), 7), sink);
    CHECK_EQUAL(3, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent.back().packet.empty());
}

TEST(packet_balancer_search, packets_kept_in_a_search_go_to_the_holder) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.handle_caller(at(1), caller_packet_of(flow_of(1), 8), sink);
    sink.clear();
    hold(agent_address(2), flow_of(1), 2, 0);
    CHECK_EQUAL(2, sink.count(agent_packet_kind::forward));
    CHECK(sink.sent[0].to == agent_address(2));
}

// Restarted agents can tell only by trying the packet at the backend server;
// sent to all agents, it was tried 88 times for each flow after a power loss.
TEST(packet_balancer_search, only_an_unsure_agent_gets_the_packet) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    sink.clear();
    core.tick(at(30), sink);
    CHECK_EQUAL(3, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent.back().message.must_reply);
    CHECK(sink.sent.back().packet.empty());
    sink.clear();
    deny(2, flow_of(1), 31, true);
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].to == agent_address(2));
    CHECK_EQUAL(packet_bytes.size(), sink.sent[0].packet.size());
}

// After a power loss every flow is sought, and callers repeat their packets: on
// a narrow link the searches kept each other from ending for 15 seconds.
TEST(packet_balancer_search, fruitless_searches_back_off_and_are_bounded) {
    for (int ms = 0; ms < 950; ms += 50) {
        for (std::uint16_t n = 1; n <= 400; ++n)
            core.handle_caller(at(ms), caller_packet_of(flow_of(n), 7), sink);
        core.tick(at(ms + 20), sink);
    }
    CHECK(sink.count(agent_packet_kind::locate) <=
          packet_balancer_options{}.max_search_datagrams + 3);
    core.tick(at(4900), sink); // Forgets these searches.
    sink.clear();
    core.handle_caller(at(5000), caller_packet_of(flow_of(900), 7), sink);
    for (int ms = 5000; ms < 6000; ms += 20) {
        core.handle_caller(at(ms), caller_packet_of(flow_of(900), 7), sink);
        core.tick(at(ms + 11), sink);
    }
    // Three agents, one early stage, then tries at 100, 300 and 700 ms or so.
    constexpr std::size_t rounds = 5;
    CHECK(sink.count(agent_packet_kind::locate) <= 3 * rounds);
}

// The caller repeats its packet while the read is under way. A balancer with an
// old view took that second denial for the final one and reset a flow that a
// backend server it had not heard of was serving.
TEST(packet_balancer_search,
    denied_flow_is_not_reset_before_the_read_has_ended) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    deny_all(flow_of(1), 22);
    core.handle_caller(at(300), caller_packet_of(flow_of(1), 7), sink);
    deny_all(flow_of(1), 302);
    CHECK(sink.resets.empty());
    core.view().apply(at(390), announcement_of(4, 9));
    sink.clear();
    core.view_confirmed(at(400), at(23), sink);
    CHECK(sink.resets.empty());
    CHECK_EQUAL(1, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent[0].to == agent_address(4));
    hold(agent_address(4), flow_of(1), 402);
    CHECK(sink.resets.empty());
}

// Beyond the bound on its messages a balancer asks nobody; that is no denial.
TEST(packet_balancer_search, flow_is_not_reset_by_a_read_while_questions_wait) {
    packet_balancer small{packet_balancer_options{.domain = test_domain,
        .agent_port = agent_port,
        .max_search_datagrams = 3}};
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

// The agent of a backend server that has left never answers; the denials of the
// others came before the balancer heard of it, and the flow was sought in vain.
TEST(packet_balancer_search,
    flow_is_reset_once_the_silent_agent_is_gone_for_long) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    deny_all(flow_of(1), 22, 2);
    core.view().apply(at(30), {.name = "backend/3", .revision = 9});
    for (int ms = 40; ms < 2000; ms += 20)
        core.tick(at(ms), sink);
    CHECK(sink.resets.empty());
    pass_time_with_reads(2000, 2900);
    CHECK_EQUAL(1, sink.resets.size());
}

// A lost question or answer cost the wait for the caller's next packet.
TEST(packet_balancer_search, silent_agent_is_asked_again_without_a_packet) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    deny_all(flow_of(1), 22, 2);
    sink.clear();
    core.tick(at(150), sink);
    CHECK_EQUAL(1, sink.sent.size());
    CHECK(sink.sent[0].to == agent_address(3));
}

// Hosts that do not come back from a power loss are announced for seconds;
// their silence kept the callers of every lost flow waiting.
TEST(packet_balancer_search, agent_silent_for_long_blocks_no_reset) {
    auto const seek = [&](std::uint16_t port, int ms) {
        core.handle_caller(at(ms), caller_packet_of(flow_of(port), 7), sink);
        core.tick(at(ms + 11), sink);
        deny_all(flow_of(port), ms + 12, 2);
    };
    seek(1, 0);
    pass_time_with_reads(20, 1400);
    CHECK(sink.resets.empty());
    pass_time_with_reads(1400, 2400);
    CHECK_EQUAL(1, sink.resets.size());
    // The next one need not wait as long.
    seek(2, 2500);
    pass_time_with_reads(2520, 2800);
    CHECK_EQUAL(2, sink.resets.size());
}

// One lost datagram is no silence.
TEST(packet_balancer_search, agent_is_not_silent_for_one_lost_question) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    hold(agent_address(1), flow_of(1), 21);
    core.handle_caller(at(3000), caller_packet_of(flow_of(2), 7), sink);
    core.tick(at(3011), sink);
    deny_all(flow_of(2), 3012, 2);
    pass_time_with_reads(3020, 3400);
    CHECK(sink.resets.empty());
}

TEST_GROUP_BASE(packet_balancer_lists, packet_balancer_fixture) {
    static constexpr std::uint16_t flows = 20;

    void setup() override {
        packet_balancer_fixture::setup();
        for (std::uint16_t n = 1; n <= flows; ++n)
            core.handle_caller(at(100), caller_packet_of(flow_of(n), 7), sink);
        sink.clear();
        core.tick(at(110), sink);
    }

    void list(std::uint32_t agent, std::uint32_t number, int ms,
        std::vector<std::uint64_t> const& held = {}, bool is_uncertain = false,
        refusal why = refusal::none) {
        auto const bytes = encode_flow_list(held);
        core.handle(at(ms), agent_address(agent),
            {.kind = agent_packet_kind::listed,
                .why = why,
                .is_uncertain = is_uncertain,
                .service = test_service,
                .route_version = 5,
                .handshake = number,
                .packet = bytes},
            nullptr, sink);
    }
};

// After a power loss 2,200 flows were sought at 44 agents each; the questions
// kept balancers on small hosts busy for five seconds.
TEST(packet_balancer_lists, many_searches_cost_one_question_to_each_agent) {
    CHECK_EQUAL(3, sink.count(agent_packet_kind::list));
    CHECK_EQUAL(0, sink.count(agent_packet_kind::locate));
    for (std::uint32_t n = 1; n <= 3; ++n)
        list(n, 1, 111);
    core.view_confirmed(at(130), at(112), sink);
    CHECK_EQUAL(flows, sink.resets.size());
}

TEST(packet_balancer_lists, listed_flow_is_asked_for_at_its_holder) {
    sink.clear();
    list(1, 1, 111, {hash_value(flow_of(4)), 77, hash_value(flow_of(2))});
    CHECK_EQUAL(2, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent[0].to == agent_address(1));
    CHECK(sink.sent[0].message.must_reply);
    list(2, 1, 111);
    list(3, 1, 111);
    core.view_confirmed(at(130), at(112), sink);
    CHECK_EQUAL(flows - 2, sink.resets.size());
}

// An earlier answer says nothing of a flow opened after it.
TEST(packet_balancer_lists, answer_to_an_earlier_question_denies_nothing) {
    for (std::uint16_t n = 101; n <= 110; ++n)
        core.handle_caller(at(120), caller_packet_of(flow_of(n), 7), sink);
    core.tick(at(170), sink);
    for (std::uint32_t n = 1; n <= 3; ++n)
        list(n, 1, 171);
    core.view_confirmed(at(190), at(172), sink);
    CHECK_EQUAL(flows, sink.resets.size());
    for (std::uint32_t n = 1; n <= 3; ++n)
        list(n, 2, 191);
    core.view_confirmed(at(210), at(192), sink);
    CHECK_EQUAL(flows + 10, sink.resets.size());
}

TEST(packet_balancer_lists, unsure_agent_gets_one_packet_of_each_flow) {
    sink.clear();
    list(1, 1, 111, {}, true);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
    CHECK(!sink.sent[0].packet.empty());
    list(1, 1, 112, {}, true);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
}

TEST(packet_balancer_lists, agent_with_too_many_flows_is_asked_one_by_one) {
    sink.clear();
    list(1, 1, 111, {}, false, refusal::overloaded);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent[0].packet.empty());
}
