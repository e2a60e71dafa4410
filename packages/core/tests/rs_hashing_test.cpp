#include <radishspread/core/rs_route_cookie.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;

TEST_GROUP(cookie_tags) {
    fleet_key const secret{{1, 2, 3}};
    flow_key const flow{.service = 1, .caller = {0x7f000001, 4000}, .flow = 9};
    route_cookie const cookie{.key_id = 1,
        .domain = 2,
        .service = 1,
        .agent = {0x7f000002, 9000},
        .incarnation = 77,
        .opening = 5};
};

// If the tag did not cover a field, a caller could change it and redirect its
// packets.
TEST(cookie_tags, every_changed_field_changes_the_tag) {
    auto const tag = cookie_tag(secret, cookie, flow);
    auto changed = [&](auto change) {
        auto copy = cookie;
        change(copy);
        return cookie_tag(secret, copy, flow) != tag;
    };
    CHECK_TRUE(changed([](auto& it) { it.key_id = 2; }));
    CHECK_TRUE(changed([](auto& it) { it.domain = 3; }));
    CHECK_TRUE(changed([](auto& it) { it.service = 2; }));
    CHECK_TRUE(changed([](auto& it) { it.agent.port = 9001; }));
    CHECK_TRUE(changed([](auto& it) { it.agent.address += 1; }));
    CHECK_TRUE(changed([](auto& it) { it.incarnation = 78; }));
    CHECK_TRUE(changed([](auto& it) { it.opening = 6; }));
    CHECK_TRUE(changed([](auto& it) { it.domains_revision = 4; }));
    CHECK_FALSE(changed([](auto& it) { it.tag = 1; }));
}

TEST(cookie_tags, another_flow_or_key_changes_the_tag) {
    auto const tag = cookie_tag(secret, cookie, flow);
    auto other = flow;
    other.caller.port += 1;
    CHECK_TRUE(cookie_tag(secret, cookie, other) != tag);
    CHECK_TRUE(cookie_tag(fleet_key{{9}}, cookie, flow) != tag);
}
