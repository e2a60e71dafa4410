#include "rs_packet_balancer_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

namespace {

/// A balancer that callers reach, whether or not agents reply to it.
struct reachability_fixture : packet_balancer_fixture {
    std::uint16_t opened = 0;

    /// Lets time pass while callers open a flow every 20 ms.
    void pass_time_with_openings(int from, int to) {
        for (int ms = from; ms < to; ms += 20) {
            core.handle_caller(at(ms), opening_packet(flow_of(++opened)), sink);
            core.tick(at(ms + 10), sink);
        }
    }

    /// Searches for a flow that the first two agents reject, until long after a
    /// read of the configuration has confirmed that these are all others.
    void search_without_reply_of_the_third_agent(int ms) {
        auto const flow = flow_of(900);
        core.handle_caller(at(ms), caller_packet_of(flow, 7), sink);
        core.tick(at(ms + 20), sink);
        reply_not_held_by_all(flow, ms + 25, 2);
        core.view_confirmed(at(ms + 40), at(ms + 30), sink);
        core.tick(at(ms + 170), sink);
    }

    [[nodiscard]] bool has_event(std::uint16_t number) const {
        return std::count(sink.events.begin(), sink.events.end(), number) > 0;
    }
};

} // namespace

TEST_GROUP_BASE(packet_balancer_reachability, reachability_fixture){};

// An isolated balancer that stayed ready received the callers of its failure
// domain for seven seconds and served none: the fabric relies on the readiness
// address alone.
TEST(packet_balancer_reachability,
    balancer_without_any_reply_leaves_the_rotation) {
    CHECK(core.is_serving(at(0)));
    pass_time_with_openings(0, 500);
    CHECK(core.is_ready());
    CHECK(!core.is_serving(at(500)));
    CHECK(has_event(packet_event::agents_unreachable));
}

// A whole failure domain of agents may fail; the balancer can use the others.
TEST(packet_balancer_reachability,
    balancer_with_one_replying_agent_keeps_serving) {
    for (int ms = 0; ms < 2000; ms += 100) {
        pass_time_with_openings(ms, ms + 100);
        reply_held(agent_address(1), flow_of(opened), ms + 100);
        CHECK(core.is_serving(at(ms + 100)));
    }
    CHECK(!has_event(packet_event::agents_unreachable));
}

TEST(packet_balancer_reachability,
    balancer_without_sent_requests_keeps_serving) {
    for (int ms = 0; ms < 5000; ms += 100)
        core.tick(at(ms), sink);
    CHECK(core.is_serving(at(5000)));
    CHECK(sink.sent.empty());
}

// Out of rotation, no packets of callers arrive that would cause requests to
// agents, so the balancer has to check them.
TEST(packet_balancer_reachability,
    balancer_out_of_rotation_checks_until_a_reply) {
    pass_time_with_openings(0, 500);
    for (int ms = 500; ms < 2600; ms += 100)
        core.tick(at(ms), sink);
    sink.clear();
    core.tick(at(2600), sink);
    CHECK(sink.count(agent_packet_kind::list) > 0);
    auto const check = sink.sent.back();
    deliver_reply(check.to,
        {.kind = agent_packet_kind::listed, .route_version = 5}, 2610);
    CHECK(core.is_serving(at(2610)));
    core.tick(at(2700), sink);
    CHECK(has_event(packet_event::agents_recovered));
}

// All agents are checked in turn, since most of them may have failed
// permanently.
TEST(packet_balancer_reachability, balancer_out_of_rotation_checks_all_agents) {
    for (std::uint32_t n = 1; n <= 3; ++n)
        reply_held(
            agent_address(n), flow_of(static_cast<std::uint16_t>(900 + n)), 0);
    pass_time_with_openings(0, 500);
    sink.clear();
    core.tick(at(600), sink);
    for (std::uint32_t n = 1; n <= 3; ++n)
        CHECK(std::any_of(sink.sent.begin(), sink.sent.end(),
            [&](auto const& it) { return it.to == agent_address(n); }));
}

// A suspended host receives nothing during the pause, but is not isolated.
TEST(
    packet_balancer_reachability, missing_replies_during_a_pause_do_not_count) {
    pass_time_with_openings(0, 300);
    core.tick(at(3000), sink);
    core.view_confirmed(at(3010), at(3005), sink);
    CHECK(core.is_serving(at(3010)));
}

// A balancer that had asked only one agent, now failed, would have called
// itself isolated although others could be reached. With few agents it asked
// the same one several times in a row.
TEST(packet_balancer_reachability, each_agent_of_the_view_is_checked_once) {
    core.handle_caller(at(0), opening_packet(flow_of(1)), sink);
    core.tick(at(250), sink);
    CHECK_EQUAL(3, sink.count(agent_packet_kind::list));
    for (std::uint32_t n = 1; n <= 3; ++n)
        CHECK(std::any_of(
            sink.sent.begin(), sink.sent.end(), [&](auto const& it) {
                return it.to == agent_address(n) &&
                       it.message.kind == agent_packet_kind::list;
            }));
}

// While a balancer is isolated no agent replies, so that their missing replies
// prove nothing. An agent that replied 150 ms after the isolation had ended
// was taken for failed, and an open flow that it held was reset.
TEST(packet_balancer_reachability,
    missing_replies_during_isolation_reset_no_open_flow) {
    pass_time_with_openings(0, 2000);
    CHECK(!core.is_serving(at(2000)));
    deliver_reply(agent_address(1),
        {.kind = agent_packet_kind::listed, .route_version = 5}, 2000);
    search_without_reply_of_the_third_agent(2010);
    CHECK(sink.resets.empty());
}

// Replies to a burst of checks may be lost together, long before the next
// request to the agent.
TEST(packet_balancer_reachability,
    lost_replies_to_checks_make_no_agent_unresponsive) {
    pass_time_with_openings(0, 390);
    deliver_reply(agent_address(1),
        {.kind = agent_packet_kind::listed, .route_version = 5}, 395);
    CHECK(core.is_serving(at(395)));
    for (int ms = 400; ms < 2000; ms += 100) {
        core.tick(at(ms), sink);
        reply_held(agent_address(1), flow_of(901), ms + 10);
    }
    search_without_reply_of_the_third_agent(2010);
    CHECK(sink.resets.empty());
}
