#include "rs_packet_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP(packet_claims) {
    packet_fleet fleet;

    void setup() override {
        fleet.publish_route(test_service);
        for (std::uint32_t n = 1; n <= 3; ++n)
            fleet.add_backend(n, test_service);
        fleet.add_balancer();
        fleet.add_balancer();
    }

    std::uint16_t opened = 0;

    /// Opens another flow, through the balancers in turn, every 10 ms.
    void open_next() {
        ++opened;
        fleet.open(flow_of(opened), opened % 2U);
        fleet.run_for(10);
    }

    /// Opened flows that a backend server holds.
    [[nodiscard]] std::uint16_t held() const {
        std::uint16_t count = 0;
        for (std::uint16_t n = 1; n <= opened; ++n)
            count += fleet.holder_of(flow_of(n)).has_value() ? 1 : 0;
        return count;
    }
};

// After some forged messages no opening was admitted, by any process, for as
// long as the fleet ran, and every process used a whole core.
TEST(packet_claims, openings_are_admitted_during_and_after_forged_versions) {
    constexpr std::size_t processes = 5;
    constexpr std::size_t looks_of_a_process = 12;
    auto version = forged_version;
    for (int ms = 0; ms < 4000; ms += 10) {
        for (int n = 0; n != 20; ++n)
            fleet.claim_version(++version);
        open_next();
    }
    for (int n = 0; n != 100; ++n)
        open_next();
    fleet.run_for(200);
    CHECK_EQUAL(opened, held());
    CHECK(fleet.looks() <= processes * looks_of_a_process);
}

// Processes that learn of an edit at different times must not refuse openings
// over it, also while forged versions arrive.
TEST(packet_claims, edit_amid_forged_versions_costs_no_opening) {
    fleet.delay_changes(3000, 7);
    fleet.publish_route(test_service);
    for (int ms = 0; ms < 4000; ms += 10) {
        fleet.claim_version(forged_version);
        open_next();
    }
    fleet.run_for(200);
    CHECK_EQUAL(opened, held());
}
