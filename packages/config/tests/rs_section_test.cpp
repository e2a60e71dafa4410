#include "rs_example_files.hpp"

#include <radishspread/config/rs_parse_section.hpp>

#include <chrono>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::config;

namespace {

std::string repeat(std::string_view text, std::size_t size) {
    std::string result;
    while (result.size() + text.size() <= size)
        result += text;
    return result;
}

std::string bytes_from(std::string_view alphabet, std::size_t size) {
    std::mt19937 random(7);
    std::string text(size, ' ');
    for (auto& c : text)
        c = alphabet.empty() ? static_cast<char>(random())
                             : alphabet[random() % alphabet.size()];
    return text;
}

} // namespace

TEST_GROUP(sections){domains_section domains_of(std::string const& deployment){
    auto const parsed = parse_section(
        "domains", 1, read_example(deployment + "/domains"));
return std::get<domains_section>(parsed.value->content);
}
}
;

TEST(sections, example_documents_are_read_completely) {
    auto const domains = domains_of("balkonbloei");
    auto const text = read_example("balkonbloei/service/orders");
    auto const orders = parse_section("service/orders", 9, text, &domains);
    CHECK_EQUAL(std::string(), join(orders.faults));
    CHECK_EQUAL(9U, orders.value->held);
    CHECK_TRUE(text == orders.value->text);
    auto const& service = std::get<service_section>(orders.value->content);
    CHECK_EQUAL(7U, service.backend_servers.size());
    auto const& last = service.backend_servers.back();
    CHECK_EQUAL(107U, last.id);
    CHECK_EQUAL(1, last.domain);
    CHECK_EQUAL(7U, last.slots);
    auto const nashama = domains_of("nashama");
    for (std::string const name :
        {"service/entries", "service/startlists", "hosts/amman-a"}) {
        auto const parsed =
            parse_section(name, 1, read_example("nashama/" + name), &nashama);
        CHECK_EQUAL(std::string(), join(parsed.faults));
    }
}

// Accepting a section that has a fault could route flows to a wrong backend
// server.
TEST(sections, all_faults_of_a_service_are_reported_with_their_position) {
    auto const domains = domains_of("nashama");
    auto const* text =
        "service: other\n"
        "id: 0\n"
        "backend_servers:\n"
        "  - {name: a, id: 1, failure_domain: amman-a, agent: 127.0.0.1:1,"
        " slots: 1, connections: 1}\n"
        "  - {name: a, id: 1, failure_domain: amman-x, agent: 127.0.0.1:1,"
        " slots: 0, connections: -1, state: out}\n";
    auto const result = parse_section("service/entries", 1, text, &domains);
    CHECK_TRUE(result.value == nullptr);
    CHECK_EQUAL(
        std::string(
            "service/entries:1:1: port: expected this key, not found\n"
            "service/entries:1:10: service: expected 'entries' as in the "
            "section's name, found 'other'\n"
            "service/entries:2:5: id: expected an integer from 1 to "
            "4294967295, found '0'\n"
            "service/entries:5:12: backend_servers[1].name: expected a unique "
            "value, found a duplicate\n"
            "service/entries:5:19: backend_servers[1].id: expected a unique "
            "value, found a duplicate\n"
            "service/entries:5:38: backend_servers[1].failure_domain: expected "
            "a failure domain of the section 'domains', found 'amman-x'\n"
            "service/entries:5:54: backend_servers[1].agent: expected a unique "
            "value, found a duplicate\n"
            "service/entries:5:74: backend_servers[1].slots: expected an "
            "integer from 1 to 10000, found '0'\n"
            "service/entries:5:90: backend_servers[1].connections: expected an "
            "integer from 1 to 1000000, found '-1'\n"
            "service/entries:5:101: backend_servers[1].state: expected active "
            "or draining, found 'out'\n"),
        join(result.faults));
}

// A malformed section of one service must not stop any process or exhaust its
// memory.
TEST(sections, megabyte_of_malformed_text_is_rejected_in_bounded_time) {
    constexpr std::size_t size = 1U << 20U;
    for (auto const& text :
        {repeat("[", size), repeat("{a: ", size), repeat("- ", size),
            repeat("a: ", size), repeat("? ", size), repeat("a: [1]\n", size),
            "x: [" + repeat("a,", size - 5), repeat("'", size),
            repeat("- a\n", size), repeat("&a ", size), repeat("!a ", size),
            "a: &a [x]\nb: &b [*a,*a,*a,*a]\nc: [*b,*b,*b,*b]\n" +
                repeat("#", size - 60),
            bytes_from("", size), bytes_from("[]{}:,-? \n\"'&*!|>#%@a", size),
            std::string(size + 1, 'a'), std::string(), std::string("\0", 1)}) {
        auto const start = std::chrono::steady_clock::now();
        auto const result = parse_section("hosts/a", 1, text);
        auto const time = std::chrono::steady_clock::now() - start;
        CHECK_TRUE(result.value == nullptr);
        CHECK_TRUE(!result.faults.empty() && result.faults.size() <= 101);
        CHECK_TRUE(time < std::chrono::seconds(10));
    }
}
