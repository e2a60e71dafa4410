#include <radishspread/runtime/rs_event_log.hpp>
#include <radishspread/runtime/rs_make_event.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

TEST_GROUP(event_log_rate) {
    std::vector<std::string> lines;
    event_log log{[this](severity, std::string_view line) {
        lines.emplace_back(line);
    }};
    instant const start{std::chrono::seconds(100)};
};

// Malformed input at a high rate must not fill the log or block the event loop.
TEST(event_log_rate,
    repeated_event_is_rate_limited_and_suppressed_ones_are_counted) {
    for (int n = 0; n < 25; ++n)
        log.write(start, make_event(peer_tag_invalid, step::receive));
    log.write(start, make_event(watch_failed, step::read_document));
    CHECK_EQUAL(11U, lines.size());
    log.tick(start + std::chrono::milliseconds(999));
    CHECK_EQUAL(11U, lines.size());
    log.tick(start + std::chrono::seconds(1));
    CHECK_EQUAL(12U, lines.size());
    CHECK_EQUAL(
        std::string("RS1300 events suppressed by the rate limit; value is "
                    "their count (step=receive, value=15, text=RS1313)"),
        lines.back());
    log.write(start + std::chrono::seconds(1),
        make_event(peer_tag_invalid, step::receive));
    CHECK_EQUAL(13U, lines.size());
}
