#include <radishspread/config/rs_review_routes.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::config;
using namespace std::chrono_literals;

TEST_GROUP(review_routes) {
    published_routes routes{.version = 7,
        .routes = {{.name = "feed",
                       .address = {.address = 0xc6120001, .port = 443},
                       .services = {{.name = "orders"}},
                       .timeout = 1500ms,
                       .goal = 200ms,
                       .priority = 2},
            {.name = "preview",
                .address = {.address = 0xc6120002, .port = 443},
                .services = {{.name = "previews"}},
                .timeout = 6000ms,
                .goal = 800ms}},
        .services = {{.name = "orders",
                         .warmup_period = 2000ms,
                         .openings_per_second = 10},
            {.name = "previews"}},
        .idle_timeout = 15000ms};

    void check_only(
        std::vector<finding> const& found, std::string const& line) {
        CHECK_EQUAL(1, found.size());
        STRCMP_EQUAL(line.c_str(), to_string(found.front()).c_str());
    }
};

TEST(review_routes, valid_routes_have_no_findings) {
    CHECK(review_routes(routes).empty());
    auto next = routes;
    next.version = 8;
    CHECK(compare_routes(routes, next).empty());
}

// The second route of an address was published without effect.
TEST(review_routes, second_route_of_an_address_never_matches) {
    auto second = routes.routes.front();
    second.name = "feed-2";
    routes.routes.push_back(second);
    check_only(review_routes(routes),
        "unused: feed-2: never matches: 198.18.0.1:443 is the address of route "
        "feed");
}

TEST(review_routes, service_of_a_lower_weight_takes_no_flows) {
    routes.routes.front().services = {
        {.name = "previews", .weight = 10}, {.name = "orders", .weight = 90}};
    check_only(review_routes(routes),
        "unused: feed: service previews takes no flows: orders has the highest "
        "weight");
}

TEST(review_routes, unknown_missing_and_unreachable_services_are_found) {
    routes.routes.front().services.front().name = "order";
    auto const found = review_routes(routes);
    CHECK_EQUAL(2, found.size());
    STRCMP_EQUAL("contradiction: feed: service order is not listed",
        to_string(found[0]).c_str());
    STRCMP_EQUAL("unused: orders: no route leads to the service",
        to_string(found[1]).c_str());
    routes.routes.front().services.clear();
    STRCMP_EQUAL("unused: feed: names no service",
        to_string(review_routes(routes).front()).c_str());
}

// Each limit alone is valid, but one of the two has no effect.
TEST(review_routes, limits_that_exclude_each_other_are_found) {
    auto goal = routes;
    goal.routes.front().goal = 2000ms;
    check_only(review_routes(goal),
        "contradiction: feed: goal 2000 ms is longer than timeout 1500 ms");
    auto idle = routes;
    idle.idle_timeout = 5000ms;
    check_only(review_routes(idle),
        "contradiction: preview: timeout 6000 ms is longer than the idle "
        "timeout 5000 ms");
    auto cold = routes;
    cold.services.front().warmup_period = 0ms;
    check_only(review_routes(cold),
        "contradiction: orders: limit at cold backend servers without a time "
        "for which they are cold");
    auto unlimited = routes;
    unlimited.idle_timeout = 0ms;
    unlimited.routes.front().timeout = 0ms;
    CHECK(review_routes(unlimited).empty());
}

// Processes ignore such a version, so the edit had no effect.
TEST(review_routes, version_that_is_not_higher_is_a_risk) {
    check_only(compare_routes(routes, routes),
        "risk: version: 7 is not higher than 7, so it has no effect");
}

TEST(review_routes, changes_that_reset_flows_are_risks) {
    auto next = routes;
    next.version = 8;
    next.routes.front().address.port = 444;
    auto found = compare_routes(routes, next);
    CHECK_EQUAL(2, found.size());
    STRCMP_EQUAL("change: feed: address 198.18.0.1:443 becomes 198.18.0.1:444",
        to_string(found[0]).c_str());
    STRCMP_EQUAL("risk: feed: no route has the address 198.18.0.1:443 any "
                 "more, its open flows are reset",
        to_string(found[1]).c_str());
    next = routes;
    next.version = 8;
    next.routes.pop_back();
    found = compare_routes(routes, next);
    CHECK_EQUAL(2, found.size());
    STRCMP_EQUAL(
        "change: preview: route is removed", to_string(found[0]).c_str());
    STRCMP_EQUAL("risk: preview: no route has the address 198.18.0.2:443 any "
                 "more, its open flows are reset",
        to_string(found[1]).c_str());
}

// A renamed route was reported as one whose flows are reset.
TEST(review_routes, renamed_route_keeps_its_flows) {
    auto next = routes;
    next.version = 8;
    next.routes.back().name = "render";
    auto const found = compare_routes(routes, next);
    CHECK_EQUAL(2, found.size());
    STRCMP_EQUAL(
        "change: preview: route is removed", to_string(found[0]).c_str());
    STRCMP_EQUAL("change: render: route is added", to_string(found[1]).c_str());
}

TEST(review_routes, changed_values_are_listed) {
    auto next = routes;
    next.version = 8;
    auto& feed = next.routes.front();
    feed.services.front().name = "previews";
    feed.timeout = 2000ms;
    feed.goal = 300ms;
    feed.priority = 1;
    next.services.front().warmup_period = 3000ms;
    next.services.pop_back();
    next.services.push_back({.name = "reports"});
    auto const found = compare_routes(routes, next);
    constexpr char const* expected[] = {
        "change: feed: service of new flows orders becomes previews",
        "change: feed: timeout 1500 ms becomes 2000 ms",
        "change: feed: goal 200 ms becomes 300 ms",
        "change: feed: priority 2 becomes 1",
        "change: orders: cold time 2000 ms becomes 3000 ms",
        "change: previews: service is removed",
        "change: reports: service is added"};
    CHECK_EQUAL(std::size(expected), found.size());
    for (std::size_t n = 0; n != found.size(); ++n)
        STRCMP_EQUAL(expected[n], to_string(found[n]).c_str());
}
