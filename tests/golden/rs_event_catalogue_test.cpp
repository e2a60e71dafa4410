#include <golden/rs_approved_text.hpp>

#include <radishspread/config/rs_settings_events.hpp>
#include <radishspread/core/rs_agent_events.hpp>
#include <radishspread/core/rs_balancer_events.hpp>
#include <radishspread/core/rs_document_events.hpp>
#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/runtime/rs_datagram_events.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>
#include <radishspread/wire/rs_datagram_events.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <map>
#include <span>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace radishspread;

namespace {

struct area {
    std::string_view heading;
    std::span<event_description const> events;
};

/// The arrays of log events: one entry for each `*_events.hpp`.
std::array<area, 8> const areas{{
    {"Balancer (1000-1099)", balancer_events},
    {"Agent (1100-1199)", agent_events},
    {"Document (1200-1299)", document_events},
    {"Runtime (1300-1399)", runtime::runtime_events},
    {"Settings (1400-1499)", config::settings_events},
    {"Datagrams (1500-1599)", runtime::datagram_events},
    {"Datagrams (1500-1599)", wire::datagram_events},
    {"Packet flows (1600-1699)", packet_events},
}};

constexpr std::array<std::string_view, 3> severity_names{
    "info", "warning", "error"};

/// Log events by number; the value is "heading | severity | text".
using catalogue = std::multimap<int, std::string>;

catalogue read_arrays() {
    catalogue found;
    for (auto const& [heading, events] : areas)
        for (auto const& it : events)
            found.emplace(it.number,
                std::string(heading) + " | " +
                    std::string(
                        severity_names[static_cast<std::size_t>(it.severity)]) +
                    " | " + std::string(it.text));
    return found;
}

/// Reads the events of docs/events.md. Rows have the form
/// "| number | severity | text | meaning | what to do |".
catalogue read_page() {
    std::istringstream page(
        golden::read_file(RADISHSPREAD_SOURCE "/docs/events.md"));
    catalogue found;
    std::string heading;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## "))
            heading = line.substr(3);
        if (!line.starts_with("| 1"))
            continue;
        auto const text = line.find(" | ") + 3;
        auto const meaning = line.find(" | ", line.find(" | ", text) + 3);
        found.emplace(std::stoi(line.substr(2)),
            heading + " | " + line.substr(text, meaning - text));
    }
    return found;
}

std::string first_difference(catalogue const& code, catalogue const& page) {
    auto const [a, b] =
        std::mismatch(code.begin(), code.end(), page.begin(), page.end());
    std::string text;
    if (a != code.end())
        text += "code: " + std::to_string(a->first) + " | " + a->second + "; ";
    if (b != page.end())
        text += "page: " + std::to_string(b->first) + " | " + b->second;
    return text;
}

} // namespace

TEST_GROUP(event_catalogue){};

// Guards against log events that are missing from docs/events.md, and against
// entries of the page whose event was removed or reworded.
TEST(event_catalogue, page_and_arrays_hold_the_same_events) {
    STRCMP_EQUAL("", first_difference(read_arrays(), read_page()).c_str());
}

// Guards against two log events with the same number, which operators could not
// tell apart, and against a number outside the range of its area.
TEST(event_catalogue, no_number_is_used_twice_or_outside_its_area) {
    auto const found = read_arrays();
    CHECK(!found.empty());
    for (auto const& [number, text] : found) {
        auto const first = std::stoi(text.substr(text.find('(') + 1));
        CHECK_EQUAL_TEXT(1U, found.count(number), text.c_str());
        CHECK_EQUAL_TEXT(first, number - number % 100, text.c_str());
    }
}

// Guards against a new array of log events that is missing from `areas` and
// thus not checked by the two tests above.
TEST(event_catalogue, every_events_header_is_compared) {
    std::size_t headers = 0;
    for (auto const& it : std::filesystem::recursive_directory_iterator(
             RADISHSPREAD_SOURCE "/packages"))
        if (it.path().filename().string().ends_with("_events.hpp"))
            ++headers;
    CHECK_EQUAL(areas.size(), headers);
}
