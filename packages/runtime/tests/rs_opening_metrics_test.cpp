#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/runtime/rs_opening_metrics.hpp>

#include <cstdint>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

TEST_GROUP(opening_metrics) {
    metrics registry;
    opening_metrics core{registry};

    void admit(std::uint16_t route_port, duration waited) {
        core.record({.number = packet_event::opening_admitted,
            .flow = {.service = {.address = 0xc6120001, .port = route_port}},
            .priority = 1,
            .queued_for = waited});
    }

    bool has_line(std::string const& line) {
        return registry.text().find(line + '\n') != std::string::npos;
    }
};

TEST(opening_metrics, wait_is_counted_by_route) {
    admit(443, std::chrono::milliseconds(20));
    admit(444, duration{0});
    CHECK(has_line("radishspread_opening_wait_seconds_bucket"
                   "{route=\"198.18.0.1:443\",le=\"0.025\"} 1"));
    CHECK(has_line("radishspread_opening_wait_seconds_bucket"
                   "{route=\"198.18.0.1:443\",le=\"0.01\"} 0"));
    CHECK(has_line("radishspread_opening_wait_seconds_count"
                   "{route=\"198.18.0.1:444\"} 1"));
}

TEST(opening_metrics, rejected_opening_is_counted_by_reason_and_priority) {
    core.record({.number = packet_event::opening_refused,
        .why = refusal::overloaded,
        .priority = 2});
    CHECK(has_line(
        "radishspread_openings_rejected_total"
        "{result=\"refused\",reason=\"overloaded\",priority=\"2\"} 1"));
}

TEST(opening_metrics, opening_of_a_caller_over_its_share_is_counted) {
    core.record({.number = packet_event::caller_over_share, .priority = 2});
    CHECK(has_line("radishspread_openings_over_share_total 1"));
}

// Routes come and go with the configuration, for as long as the process runs.
TEST(opening_metrics, routes_beyond_the_limit_share_a_label) {
    for (std::uint16_t n = 0; n != opening_metrics::max_routes + 10; ++n)
        admit(n, duration{0});
    CHECK(has_line("radishspread_opening_wait_seconds_count"
                   "{route=\"other\"} 10"));
}
