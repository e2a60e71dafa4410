#include "rs_packet_balancer_fixture.hpp"

#include <algorithm>

using namespace radishspread;
using namespace radishspread::test;

namespace {

/// A balancer that callers reach, whether or not agents answer it.
struct contact_fixture : packet_balancer_fixture {
    std::uint16_t opened = 0;

    /// Callers open a flow every 20 ms.
    void pass_time_with_openings(int from, int to) {
        for (int ms = from; ms < to; ms += 20) {
            core.handle_caller(at(ms), opening_packet(flow_of(++opened)), sink);
            core.tick(at(ms + 10), sink);
        }
    }

    [[nodiscard]] bool has_event(std::uint16_t number) const {
        return std::count(sink.events.begin(), sink.events.end(), number) > 0;
    }
};

} // namespace

TEST_GROUP_BASE(packet_balancer_contact, contact_fixture){};

// Guards against taking seven seconds of a failure domain's callers while cut
// off from every agent: the fabric goes by the readiness address alone.
TEST(packet_balancer_contact, balancer_without_any_answer_leaves_the_rotation) {
    CHECK(core.is_serving(at(0)));
    pass_time_with_openings(0, 500);
    CHECK(core.is_ready());
    CHECK(!core.is_serving(at(500)));
    CHECK(has_event(packet_event::agents_unreachable));
}

// Agents die in whole failure domains; the rest can serve.
TEST(packet_balancer_contact, balancer_with_one_answering_agent_stays) {
    for (int ms = 0; ms < 2000; ms += 100) {
        pass_time_with_openings(ms, ms + 100);
        hold(agent_address(1), flow_of(opened), ms + 100);
        CHECK(core.is_serving(at(ms + 100)));
    }
    CHECK(!has_event(packet_event::agents_unreachable));
}

TEST(packet_balancer_contact, balancer_that_asked_nobody_stays) {
    for (int ms = 0; ms < 5000; ms += 100)
        core.tick(at(ms), sink);
    CHECK(core.is_serving(at(5000)));
    CHECK(sink.sent.empty());
}

// Nothing arrives from callers out of rotation, so the balancer has to ask.
TEST(packet_balancer_contact, balancer_out_of_rotation_asks_until_answered) {
    pass_time_with_openings(0, 500);
    for (int ms = 500; ms < 2600; ms += 100)
        core.tick(at(ms), sink);
    sink.clear();
    core.tick(at(2600), sink);
    CHECK(sink.count(agent_packet_kind::list) > 0);
    auto const asked = sink.sent.back();
    answer(asked.to, {.kind = agent_packet_kind::listed, .route_version = 5},
        2610);
    CHECK(core.is_serving(at(2610)));
    core.tick(at(2700), sink);
    CHECK(has_event(packet_event::agents_recovered));
}

// All agents are asked in turn, since most may be dead for good.
TEST(packet_balancer_contact, balancer_out_of_rotation_asks_all_agents) {
    for (std::uint32_t n = 1; n <= 3; ++n)
        hold(agent_address(n), flow_of(static_cast<std::uint16_t>(900 + n)), 0);
    pass_time_with_openings(0, 500);
    sink.clear();
    core.tick(at(600), sink);
    for (std::uint32_t n = 1; n <= 3; ++n)
        CHECK(std::any_of(sink.sent.begin(), sink.sent.end(),
            [&](auto const& it) { return it.to == agent_address(n); }));
}

// A suspended host hears nobody either, and is not cut off.
TEST(packet_balancer_contact, silence_during_a_pause_does_not_count) {
    pass_time_with_openings(0, 300);
    core.tick(at(3000), sink);
    core.view_confirmed(at(3010), at(3005), sink);
    CHECK(core.is_serving(at(3010)));
}
