#include "rs_packet_balancer_fixture.hpp"

#include <radishspread/core/rs_flow_list.hpp>

#include <algorithm>
#include <vector>

using namespace radishspread;
using namespace radishspread::test;

/// The agents 1 to 3 are those of the service that the route names; agent 4 is
/// one of another service.
TEST_GROUP_BASE(packet_other_services, packet_balancer_fixture) {
    static constexpr std::uint32_t other_service = test_service + 1;
    static constexpr std::uint32_t other_agent = 4;

    void setup() override {
        packet_balancer_fixture::setup();
        auto change = announcement_of(other_agent, 9);
        std::get<backend_announcement>(change.content).service = other_service;
        core.view().apply(at(0), change);
    }

    /// Starts a search that the agents of the service reject at 22 ms.
    void search_and_reject() {
        core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
        core.tick(at(20), sink);
        reply_not_held_by_all(flow_of(1), 22);
        core.tick(at(22), sink);
    }

    /// Delivers the other agent's list of reassigned flows.
    void list(std::uint32_t number, int ms,
        std::vector<std::uint64_t> const& held = {},
        bool is_uncertain = false) {
        auto const bytes = encode_flow_list(held);
        core.handle(at(ms), agent_address(other_agent),
            {.kind = agent_packet_kind::listed,
                .is_uncertain = is_uncertain,
                .is_of_reassigned = true,
                .service = other_service,
                .route_version = 5,
                .handshake = number,
                .packet = bytes},
            nullptr, sink);
    }

    std::ptrdiff_t sent_to_other(agent_packet_kind kind) {
        return std::count_if(
            sink.sent.begin(), sink.sent.end(), [&](auto const& it) {
                return it.to == agent_address(other_agent) &&
                       it.message.kind == kind;
            });
    }
};

// Most searches find their flow within its own service.
TEST(packet_other_services, agents_are_queried_after_the_service_has_rejected) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    reply_not_held_by_all(flow_of(1), 22, 2);
    core.tick(at(23), sink);
    CHECK_EQUAL(0, sent_to_other(agent_packet_kind::list));
    reply_not_held(3, flow_of(1), 24);
    core.tick(at(24), sink);
    CHECK_EQUAL(1, sent_to_other(agent_packet_kind::list));
    CHECK(sink.sent.back().message.is_of_reassigned);
    CHECK_EQUAL(other_service, sink.sent.back().message.service);
}

TEST(packet_other_services, flow_is_reset_after_their_lists_and_a_read) {
    search_and_reject();
    core.view_confirmed(at(30), at(23), sink);
    CHECK(sink.resets.empty());
    list(1, 31);
    CHECK_EQUAL(1, sink.resets.size());
}

TEST(packet_other_services, listed_flow_is_queried_and_found) {
    search_and_reject();
    core.view_confirmed(at(30), at(23), sink);
    sink.clear();
    list(1, 31, {hash_value(flow_of(1)), 3});
    CHECK_EQUAL(1, sent_to_other(agent_packet_kind::locate));
    CHECK_EQUAL(other_service, sink.sent[0].message.service);
    core.handle(at(32), agent_address(other_agent),
        {.kind = agent_packet_kind::held,
            .service = other_service,
            .route_version = 5,
            .flow = flow_of(1)},
        nullptr, sink);
    CHECK_EQUAL(1, sent_to_other(agent_packet_kind::forward));
    sink.clear();
    core.handle_caller(at(40), caller_packet_of(flow_of(1), 8), sink);
    CHECK_EQUAL(1, sent_to_other(agent_packet_kind::forward));
    CHECK_EQUAL(other_service, sink.sent[0].message.service);
    CHECK(sink.resets.empty());
}

// A lost query would otherwise end the search without a result.
TEST(packet_other_services, listed_flow_is_queried_again_without_a_reply) {
    search_and_reject();
    list(1, 31, {hash_value(flow_of(1))});
    sink.clear();
    for (int ms = 40; ms <= 500; ms += 20)
        core.tick(at(ms), sink);
    CHECK(sent_to_other(agent_packet_kind::list) > 0);
}

// A packet must not reach a backend server of another service while the flow
// may be held by its own.
TEST(packet_other_services,
    uncertain_agent_is_sent_a_packet_only_after_the_service_has_rejected) {
    core.handle_caller(at(0), caller_packet_of(flow_of(1), 7), sink);
    core.tick(at(20), sink);
    reply_not_held_by_all(flow_of(1), 22, 2);
    core.tick(at(130), sink);
    CHECK_EQUAL(1, sent_to_other(agent_packet_kind::list));
    list(1, 131, {}, true);
    core.tick(at(260), sink);
    CHECK_EQUAL(0, sent_to_other(agent_packet_kind::locate));
    reply_not_held(3, flow_of(1), 270);
    core.tick(at(400), sink);
    CHECK_EQUAL(1, sent_to_other(agent_packet_kind::locate));
    core.view_confirmed(at(410), at(401), sink);
    CHECK(sink.resets.empty());
    core.handle(at(420), agent_address(other_agent),
        {.kind = agent_packet_kind::not_held,
            .why = refusal::not_held,
            .is_locate_reply = true,
            .service = other_service,
            .route_version = 5,
            .flow = flow_of(1)},
        nullptr, sink);
    CHECK_EQUAL(1, sink.resets.size());
}

// Which flows are reassigned depends on the routes, so a list under earlier
// ones may lack the flow.
TEST(packet_other_services, list_under_earlier_routes_rejects_nothing) {
    search_and_reject();
    core.view().apply(at(25), routes_of(6, 20));
    list(1, 26);
    core.view_confirmed(at(30), at(23), sink);
    CHECK(sink.resets.empty());
    core.tick(at(130), sink);
    list(1, 131);
    CHECK(sink.resets.empty());
    list(2, 132);
    CHECK_EQUAL(1, sink.resets.size());
}

// After a change of the routes, the flow is not reassigned at the agents of the
// service that they name, so the lists of these agents lack it.
TEST(packet_other_services, change_of_the_service_starts_the_search_again) {
    search_and_reject();
    auto change = routes_of(6, 20);
    std::get<route_set>(change.content).routes[0].service = other_service;
    core.view().apply(at(25), change);
    sink.clear();
    core.view_confirmed(at(30), at(23), sink);
    CHECK_EQUAL(1, sent_to_other(agent_packet_kind::locate));
    list(1, 40);
    CHECK(sink.resets.empty());
}

// The request was sent to all agents although both flows had been found.
TEST(packet_other_services, no_lists_are_requested_after_the_last_search) {
    search_and_reject();
    core.handle_caller(at(25), caller_packet_of(flow_of(2), 7), sink);
    core.tick(at(40), sink);
    reply_not_held_by_all(flow_of(2), 42);
    for (std::uint16_t const n : {1, 2})
        reply_held(agent_address(1), flow_of(n), 50);
    sink.clear();
    core.tick(at(100), sink);
    CHECK(sink.sent.empty());
}

// Hosts of other services that do not restart after a power loss must not
// block the resets for longer than those of the flow's own service.
TEST(packet_other_services, unresponsive_agent_does_not_block_a_reset) {
    constexpr int bound_ms = 2400; // As for an agent of the service.
    search_and_reject();
    for (int ms = 30; ms < bound_ms; ms += 20) {
        core.tick(at(ms), sink);
        core.view_confirmed(at(ms + 1), at(ms), sink);
        // The other agents reply, so the balancer is not isolated.
        deliver_reply(agent_address(1),
            {.kind = agent_packet_kind::listed, .route_version = 5}, ms + 2);
        core.handle_caller(at(ms + 3), caller_packet_of(flow_of(1), 7), sink);
        if (ms < 1000)
            CHECK(sink.resets.empty());
    }
    CHECK_EQUAL(1, sink.resets.size());
}
