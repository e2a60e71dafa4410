#include "rs_packet_balancer_fixture.hpp"

#include <radishspread/core/rs_flow_list.hpp>

#include <algorithm>
#include <vector>

using namespace radishspread;
using namespace radishspread::test;

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

// After a power loss, 2,200 flows were searched for at 44 agents each. The
// queries kept balancers on small hosts busy for five seconds.
TEST(packet_balancer_lists, many_searches_cost_one_request_to_each_agent) {
    CHECK_EQUAL(3, sink.count(agent_packet_kind::list));
    CHECK_EQUAL(0, sink.count(agent_packet_kind::locate));
    for (std::uint32_t n = 1; n <= 3; ++n)
        list(n, 1, 111);
    core.view_confirmed(at(130), at(112), sink);
    CHECK_EQUAL(flows, sink.resets.size());
}

TEST(packet_balancer_lists, listed_flow_is_queried_at_its_holder) {
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

// A reply to an earlier request does not cover a flow that was opened after it.
TEST(packet_balancer_lists, reply_to_an_earlier_request_rejects_nothing) {
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

TEST(packet_balancer_lists, uncertain_agent_is_sent_one_packet_of_each_flow) {
    sink.clear();
    list(1, 1, 111, {}, true);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
    CHECK(!sink.sent[0].packet.empty());
    list(1, 1, 112, {}, true);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
}

TEST(packet_balancer_lists, agent_with_too_many_flows_is_queried_flow_by_flow) {
    sink.clear();
    list(1, 1, 111, {}, false, refusal::overloaded);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
    CHECK(sink.sent[0].packet.empty());
}

// Requests to agents that had replied used up the limit of search messages. In
// the second after a power loss, nothing was left for the other agents.
TEST(packet_balancer_lists, agent_with_nothing_left_to_reply_gets_no_request) {
    list(1, 1, 111);
    list(2, 1, 111);
    sink.clear();
    core.tick(at(220), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::list));
    CHECK(sink.sent[0].to == agent_address(3));
}

// After a restart of all agents each is uncertain about every flow. When the
// packets went to the agents of all failure domains at once, most of them
// waited for a second, although the holders are mostly near.
TEST(packet_balancer_lists, packets_go_to_local_uncertain_agents_first) {
    constexpr std::uint32_t remote = 4;
    auto change = announcement_of(remote, 9);
    std::get<backend_announcement>(change.content).domain = test_domain + 1;
    core.view().apply(at(110), change);
    sink.clear();
    list(remote, 1, 111, {}, true);
    CHECK_EQUAL(0, sink.count(agent_packet_kind::locate));
    list(1, 1, 112, {}, true);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
    sink.clear();
    core.tick(at(220), sink);
    CHECK_EQUAL(flows, sink.count(agent_packet_kind::locate));
    CHECK(std::all_of(sink.sent.begin(), sink.sent.end(), [](auto const& it) {
        return it.message.kind != agent_packet_kind::locate ||
               it.to == agent_address(remote);
    }));
}

// Another list of an agent that has just been uncertain delays the packet that
// it needs by a round trip.
TEST(packet_balancer_lists, uncertain_agent_is_sent_packets_of_new_searches) {
    list(1, 1, 111, {}, true);
    for (std::uint32_t n = 2; n <= 3; ++n)
        list(n, 1, 111);
    core.handle_caller(at(120), caller_packet_of(flow_of(101), 7), sink);
    sink.clear();
    core.tick(at(170), sink);
    auto const to_first = [&](agent_packet_kind kind) {
        return std::count_if(
            sink.sent.begin(), sink.sent.end(), [&](auto const& it) {
                return it.to == agent_address(1) && it.message.kind == kind;
            });
    };
    CHECK_EQUAL(1, to_first(agent_packet_kind::locate));
    CHECK_EQUAL(0, to_first(agent_packet_kind::list));
}

// The backend server may be gone, so that the probe has no reply. The agent
// then needs a second to be certain, and must be queried again.
TEST(packet_balancer_lists, agent_without_reply_to_a_packet_is_queried_again) {
    list(1, 1, 111, {}, true);
    for (std::uint32_t n = 2; n <= 3; ++n)
        list(n, 1, 111);
    sink.clear();
    core.tick(at(250), sink);
    CHECK_EQUAL(0, sink.count(agent_packet_kind::list));
    core.tick(at(360), sink);
    CHECK_EQUAL(1, sink.count(agent_packet_kind::list));
    CHECK_EQUAL(0, sink.count(agent_packet_kind::locate));
    list(1, 2, 365);
    core.view_confirmed(at(380), at(366), sink);
    CHECK_EQUAL(flows, sink.resets.size());
}
