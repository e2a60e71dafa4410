#include "rs_packet_fleet.hpp"

#include <map>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;

namespace {

constexpr std::uint32_t first_service = test_service;
constexpr std::uint32_t second_service = test_service + 1;
constexpr std::uint32_t third_service = test_service + 2;

} // namespace

/// Two balancers; two backend servers of each of three services. The backend
/// servers 1 and 2 are those of the first service, 3 and 4 of the second, 5 and
/// 6 of the third.
TEST_GROUP(packet_reassigned) {
    static constexpr std::uint16_t flows = 12;
    /// Longer than any search that finds its flow.
    static constexpr int search_ms = 600;

    std::unique_ptr<packet_fleet> fleet = std::make_unique<packet_fleet>();

    void setup() override {
        for (std::uint32_t n = 1; n <= 6; ++n)
            fleet->add_backend(n, first_service + (n - 1) / 2);
        fleet->publish_route(first_service);
        fleet->add_balancer();
        fleet->add_balancer();
        fleet->run_for(5);
    }

    /// Opens all flows through the first balancer, with one response each.
    void open_flows() {
        for (std::uint16_t n = 1; n <= flows; ++n)
            fleet->open(flow_of(n), 0);
        fleet->run_for(10);
        request_all(0);
        check_responses(1);
    }

    void request_all(std::size_t balancer) {
        for (std::uint16_t n = 1; n <= flows; ++n)
            fleet->request(flow_of(n), balancer);
        fleet->run_for(search_ms);
    }

    void check_responses(std::size_t count) {
        for (std::uint16_t n = 1; n <= flows; ++n) {
            CHECK(!fleet->was_reset(flow_of(n)));
            CHECK_EQUAL(count, fleet->responses_to(flow_of(n)));
        }
    }
};

// A balancer compared the service of the holder with the one that the route
// names now, and reset all open flows of the route.
TEST(packet_reassigned, open_flows_survive_a_change_of_their_routes_service) {
    open_flows();
    fleet->publish_route(second_service);
    request_all(0);
    check_responses(2);
}

// A balancer that starts after the change has never seen the earlier routes.
TEST(packet_reassigned, restarted_balancer_finds_flows_of_earlier_routes) {
    open_flows();
    fleet->publish_route(second_service);
    fleet->publish_route(third_service);
    fleet->publish_route(second_service);
    fleet->restart_balancer(0);
    request_all(0);
    check_responses(2);
    // A single search queries flow by flow, many request lists.
    fleet->restart_balancer(1);
    fleet->request(flow_of(1), 1);
    fleet->run_for(search_ms);
    CHECK(!fleet->was_reset(flow_of(1)));
    CHECK_EQUAL(3, fleet->responses_to(flow_of(1)));
}

// An agent that starts after the change does not know what service opened a
// flow, so only a packet of the flow can show whether its server holds it.
TEST(packet_reassigned, restarted_agents_find_flows_of_earlier_routes) {
    open_flows();
    fleet->publish_route(second_service);
    for (std::uint32_t n = 1; n <= 6; ++n)
        fleet->restart_agent(n);
    request_all(0);
    check_responses(2);
    for (std::uint32_t n = 1; n <= 6; ++n)
        fleet->restart_agent(n);
    fleet->restart_balancer(0);
    request_all(0);
    check_responses(3);
}

TEST(packet_reassigned, flows_survive_when_the_new_service_has_no_server) {
    open_flows();
    fleet->publish_route(third_service + 1);
    fleet->restart_balancer(0);
    request_all(0);
    check_responses(2);
}

TEST(packet_reassigned, new_flow_goes_to_the_newest_service) {
    open_flows();
    fleet->publish_route(second_service);
    fleet->open(flow_of(100), 0);
    fleet->run_for(10);
    auto const holder = fleet->holder_of(flow_of(100));
    CHECK(holder == 3 || holder == 4);
}

TEST(packet_reassigned, flow_of_a_removed_route_is_reset) {
    open_flows();
    fleet->publish_route(second_service);
    fleet->publish_route(0);
    fleet->restart_balancer(1);
    fleet->request(flow_of(1), 0);
    fleet->request(flow_of(2), 1);
    fleet->run_for(5);
    CHECK(fleet->was_reset(flow_of(1)));
    CHECK(fleet->was_reset(flow_of(2)));
}

// Without a reset, the caller of a flow that was lost waits for its timeout.
// The other services must not delay it by more than another round of queries.
TEST(packet_reassigned, flow_that_nobody_holds_is_reset_in_time) {
    constexpr int reset_ms = 250;
    fleet->request(flow_of(1), 0);
    fleet->run_for(reset_ms);
    CHECK(fleet->was_reset(flow_of(1)));
    for (std::uint16_t n = 2; n <= 40; ++n)
        fleet->request(flow_of(n), 0);
    fleet->run_for(reset_ms);
    for (std::uint16_t n = 2; n <= 40; ++n)
        CHECK(fleet->was_reset(flow_of(n)));
}

// Agents that know all flows of their servers answer for them, so a search
// takes no packet to a backend server that does not hold the flow.
TEST(packet_reassigned, packet_reaches_no_other_service_during_a_search) {
    open_flows();
    fleet->publish_route(second_service);
    fleet->restart_balancer(0);
    request_all(0);
    check_responses(2);
    fleet->request(flow_of(200), 0);
    fleet->run_for(search_ms);
    CHECK(fleet->was_reset(flow_of(200)));
    for (std::uint32_t n = 1; n <= 6; ++n)
        CHECK_EQUAL(0, fleet->foreign_packets(n));
}

// A cached holder may have left since, and its address may belong to a server
// of another service.
TEST(packet_reassigned, reused_address_of_the_holder_gets_no_packet) {
    fleet->remove_backend(2);
    fleet->run_for(5);
    open_flows();
    fleet->publish_route(second_service);
    fleet->remove_backend(1);
    fleet->add_backend(1, third_service);
    fleet->run_for(5);
    fleet->request(flow_of(1), 0);
    fleet->run_for(5);
    CHECK_EQUAL(0, fleet->foreign_packets(1));
    constexpr int grace_ms = 2500;
    for (int ms = 0; ms < grace_ms; ms += 200) {
        fleet->request(flow_of(1), 0);
        fleet->run_for(200);
    }
    CHECK(fleet->was_reset(flow_of(1)));
    CHECK_EQUAL(0, fleet->foreign_packets(1));
}

// One request for lists covers all searches: a query for each flow at each
// agent of the fleet would use up the limit of search messages.
TEST(packet_reassigned, messages_do_not_grow_with_the_number_of_searches) {
    constexpr std::uint16_t lost_flows = 200;
    for (std::uint16_t n = 1; n <= lost_flows; ++n)
        fleet->request(flow_of(n), 0);
    fleet->run_for(search_ms);
    for (std::uint16_t n = 1; n <= lost_flows; ++n)
        CHECK(fleet->was_reset(flow_of(n)));
    CHECK(fleet->messages() < lost_flows);
}

// Changes, restarts and requests overlap, and the processes learn of changes at
// different times. An open flow whose backend server lives is never reset, and
// its requests have responses once the caller has sent them again.
TEST(packet_reassigned, overlapping_changes_and_restarts_reset_no_open_flow) {
    constexpr std::uint64_t seeds = 20;
    constexpr int rounds = 12;
    constexpr int max_delay_ms = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        fleet = std::make_unique<packet_fleet>();
        setup();
        open_flows();
        fleet->delay_changes(max_delay_ms, seed);
        for (int round = 0; round != rounds; ++round) {
            for (int n = 0; n != 2; ++n) {
                auto const service =
                    first_service + static_cast<std::uint32_t>(random() % 3);
                fleet->publish_route(service);
                fleet->restart_balancer(random() % 2);
                fleet->restart_agent(
                    1 + static_cast<std::uint32_t>(random() % 6));
                for (std::uint16_t port = 1; port <= flows; ++port)
                    if (random() % 2 == 0)
                        fleet->request(flow_of(port), random() % 2);
                fleet->run_for(static_cast<int>(random() % 40));
            }
            fleet->run_for(search_ms);
        }
        std::map<std::uint16_t, std::size_t> responses;
        for (std::uint16_t port = 1; port <= flows; ++port)
            responses[port] = fleet->responses_to(flow_of(port));
        request_all(0);
        for (std::uint16_t port = 1; port <= flows; ++port) {
            CHECK(!fleet->was_reset(flow_of(port)));
            CHECK_EQUAL(
                responses[port] + 1, fleet->responses_to(flow_of(port)));
        }
    }
}
