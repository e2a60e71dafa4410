#include "rs_example_files.hpp"

#include <radishspread/config/rs_parse_document.hpp>
#include <radishspread/config/rs_review_document.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::config;

namespace {

constexpr char const* section_names[] = {"domains", "hosts/nl-west-a",
    "hosts/nl-west-b", "hosts/nl-west-c", "service/orders", "service/guides"};

} // namespace

TEST_GROUP(review_document){
    /// Sections of the example; in `edited`, `from` is replaced by `to`.
    std::vector<section_ptr> document(std::string const& edited = {},
        std::string const& from = {},
        std::string const& to = {}){std::vector<section_source> sources;
for (std::string const name : section_names) {
    auto text = read_example("balkonbloei/" + name);
    if (name == edited) {
        auto const at = text.find(from);
        CHECK(at != std::string::npos);
        text.replace(at, from.size(), to);
    }
    sources.push_back({.name = name, .file = name, .text = text});
}
auto parsed = parse_document(sources);
CHECK(parsed.faults.empty());
return parsed.sections;
}

static bool has_line(
    std::vector<finding> const& found, std::string const& line) {
    return std::ranges::any_of(
        found, [&](auto const& it) { return to_string(it) == line; });
}

void check_only_change(std::string const& section, std::string const& from,
    std::string const& to, std::string const& line) {
    auto const found =
        compare_documents(document(), document(section, from, to));
    CHECK_EQUAL(1, found.size());
    CHECK_TEXT(has_line(found, line), to_string(found.front()).c_str());
}
}
;

TEST(review_document, valid_example_has_no_findings) {
    CHECK(review_document(document()).empty());
    CHECK(compare_documents(document(), document()).empty());
}

// A typing error in a host list had no effect, and nothing said so.
TEST(review_document, host_without_a_backend_server_is_unused) {
    auto const found = review_document(
        document("hosts/nl-west-a", "name: orders-4", "name: order-4"));
    CHECK_EQUAL(1, found.size());
    CHECK(has_line(
        found, "unused: hosts/nl-west-a: host order-4 has no backend server"));
}

TEST(review_document, host_listed_in_another_failure_domain_contradicts) {
    auto const found = review_document(
        document("hosts/nl-west-b", "name: orders-2", "name: orders-1"));
    CHECK(has_line(found, "contradiction: hosts/nl-west-b: host orders-1 has "
                          "its backend server in nl-west-a"));
}

// Requests would be refused for lack of connections while slots are free.
TEST(review_document, more_slots_than_connections_contradict) {
    auto const found = review_document(
        document("service/orders", "connections: 2000", "connections: 5"));
    CHECK_EQUAL(1, found.size());
    CHECK(has_line(found,
        "contradiction: service/orders: orders-1 has 7 slots and at most 5 "
        "connections, so some slots stay free"));
}

TEST(review_document, service_without_a_candidate_is_unused) {
    std::vector<section_source> const sources{
        {.name = "domains",
            .file = "domains",
            .text = "failure_domains:\n  - {name: a, id: 1, region: r, state: "
                    "out}\n  - {name: b, id: 2, region: r, state: in}\n"},
        {.name = "service/s",
            .file = "s",
            .text = "service: s\nid: 1\nport: 7001\nbackend_servers:\n"
                    "  - {name: s-1, id: 1, failure_domain: a, agent: "
                    "\"127.0.0.1:1\", slots: 1, connections: 1}\n"}};
    auto const parsed = parse_document(sources);
    CHECK(parsed.faults.empty());
    auto const found = review_document(parsed.sections);
    CHECK(has_line(found, "unused: service/s: no backend server takes flows: "
                          "all drain or their failure domains are out"));
    CHECK(has_line(
        found, "unused: domains: failure domain b has no backend server"));
}

TEST(review_document, changed_values_are_listed) {
    check_only_change("service/orders", "slots: 7", "slots: 9",
        "change: service/orders: orders-1 slots 7 becomes 9");
    check_only_change("service/orders", "state: active", "state: draining",
        "change: service/orders: orders-1 state active becomes draining");
    check_only_change("domains", "state: in", "state: out",
        "change: domains: nl-west-a state in becomes out");
    check_only_change("hosts/nl-west-a", "state: live", "state: leaving",
        "change: hosts/nl-west-a: orders-1 state live becomes leaving");
}

// Flows of callers would be cut, or reach another backend server.
TEST(review_document, changes_that_break_flows_are_risks) {
    check_only_change("service/orders", "port: 7001", "port: 7009",
        "risk: service/orders: port 7001 becomes 7009");
    check_only_change("service/orders", "id: 1\n", "id: 9\n",
        "risk: service/orders: id 1 becomes 9");
    auto const found = compare_documents(document(),
        document("service/orders", "name: orders-1", "name: orders-9"));
    CHECK(has_line(
        found, "risk: service/orders: orders-1 is removed without a drain"));
    CHECK(has_line(found, "risk: service/orders: orders-9 takes the id 101 of "
                          "orders-1, whose flows may still be open"));
    CHECK(has_line(found, "change: service/orders: orders-9 is added"));
}

TEST(review_document, loss_of_most_slots_at_once_is_a_risk) {
    auto sections = document();
    for (auto& it : sections) {
        if (it->name != "service/orders")
            continue;
        auto changed = *it;
        auto& service = std::get<service_section>(changed.content);
        for (std::size_t n = 0; n != 4; ++n)
            service.backend_servers[n].is_draining = true;
        it = std::make_shared<section const>(changed);
    }
    auto const found = compare_documents(document(), sections);
    CHECK(has_line(found, "risk: service/orders: active slots 49 becomes 21"));
}

TEST(review_document, sections_of_one_document_only_are_listed) {
    auto const all = document();
    auto const some = std::span(all).first(all.size() - 1);
    CHECK(has_line(compare_documents(all, some),
        "change: service/guides: section is removed"));
    CHECK(has_line(compare_documents(some, all),
        "change: service/guides: section is added"));
}
