#include "rs_agent_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;
using namespace std::chrono_literals;

TEST_GROUP(agent_handover) {
    agent_driver source{1};
    agent_driver target{2};
    route_cookie cookie;

    void setup() override {
        source.connect();
        target.connect();
        // Leaves `target` as the only agent that can take flows over.
        source.entries.backend_servers.pop_back();
        source.apply();
        cookie = source.open(1);
        source.request(cookie, 1, 1);
    }

    void drain() {
        source.entry().is_draining = true;
        source.apply();
        source.wait(50ms);
    }

    /// Delivers the newest handover of `source` to `target`; returns the reply.
    handover_reply offer() {
        auto const message = source.out.handovers.back().message;
        target.core().handle(target.now, message, target.out);
        return target.out.handover_replies.back().message;
    }

    void reply(handover_reply const& it) {
        source.core().handle(source.now, it, source.out);
    }

    /// Runs the handover until `target` owns the flow; returns its reply, which
    /// `source` has not received.
    handover_reply commit() {
        source.respond();
        drain();
        reply(offer());
        return offer();
    }

    /// Delivers the packet last forwarded by `source` to `target`.
    void pass() {
        target.receive(source.out.forwards.back().message);
    }
};

// Guards against a flow that ends when its backend server is drained.
TEST(agent_handover, drained_flow_continues_at_target) {
    reply(commit());
    CHECK_TRUE(target.last().kind == reply_kind::moved);
    source.request(cookie, 1, 2);
    UNSIGNED_LONGS_EQUAL(1, source.out.dispatches.size());
    pass();
    UNSIGNED_LONGS_EQUAL(1, target.out.dispatches.size());
    UNSIGNED_LONGS_EQUAL(2, target.out.dispatches.back().request);
}

// Guards against a request that both agents run, or that one agent refuses and
// the other runs.
TEST(agent_handover, request_during_handover_is_neither_run_nor_refused) {
    commit();
    auto const before = source.out.replies.size();
    source.request(cookie, 1, 2);
    source.wait(1s);
    UNSIGNED_LONGS_EQUAL(1, source.out.dispatches.size());
    UNSIGNED_LONGS_EQUAL(before, source.out.replies.size());
}

// Guards against a handover while a request may still be running.
TEST(agent_handover, flow_with_outstanding_request_is_not_handed_over) {
    drain();
    reply(offer());
    source.wait(100ms); // Less than `query_reply_lifetime`.
    for (auto const& it : source.out.handovers)
        UNSIGNED_LONGS_EQUAL(0, it.message.target);
    source.respond();
    UNSIGNED_LONGS_EQUAL(1002, source.out.handovers.back().message.target);
}

// Guards against a late copy of a handover that creates a closed flow again, so
// that its requests run a second time.
TEST(agent_handover, late_copy_of_handover_does_not_recreate_closed_flow) {
    auto const taken = commit();
    auto const copy = source.out.handovers.back().message;
    target.receive(agent_driver::make_forward(
        {.kind = packet_kind::close, .flow = 1, .cookie = taken.cookie}));
    target.core().handle(target.now, copy, target.out);
    CHECK_TRUE(
        target.out.handover_replies.back().message.cookie == taken.cookie);
    target.request(*taken.cookie, 1, 2);
    CHECK_TRUE(target.last().kind == reply_kind::reset);
}

// Guards against a second owner of the request window after the target agent
// restarted.
TEST(agent_handover, restarted_target_does_not_take_flow_over) {
    commit();
    agent_driver restarted{2, 3000};
    restarted.connect();
    auto const copy = source.out.handovers.back().message;
    restarted.core().handle(restarted.now, copy, restarted.out);
    auto const result = restarted.out.handover_replies.back().message;
    CHECK_FALSE(result.cookie.has_value());
    reply(result);
    source.request(cookie, 1, 2);
    UNSIGNED_LONGS_EQUAL(1, source.out.dispatches.size());
    CHECK_TRUE(source.last().kind == reply_kind::reset);
}

// Guards against losing an answer because the flow was handed over before the
// caller had received all of it.
TEST(agent_handover, answer_from_before_handover_is_sent_by_source) {
    auto const taken = commit();
    reply(taken);
    target.request(*taken.cookie, 1, 1);
    UNSIGNED_LONGS_EQUAL(0, target.out.dispatches.size());
    auto const before = source.out.replies.size();
    source.receive(target.out.forwards.back().message);
    UNSIGNED_LONGS_EQUAL(before + 1, source.out.replies.size());
    CHECK_TRUE(source.last().kind == reply_kind::answer);
}

// Guards against a caller that never receives its new cookie, and against
// repeating `moved` indefinitely.
TEST(agent_handover, moved_is_repeated_until_new_cookie_arrives) {
    auto const taken = commit();
    auto const before = target.out.replies.size();
    target.wait(1s);
    CHECK_TRUE(target.out.replies.size() > before + 1);
    target.receive(agent_driver::make_forward(
        {.kind = packet_kind::keepalive, .flow = 1, .cookie = taken.cookie}));
    auto const confirmed = target.out.replies.size();
    target.wait(5s);
    UNSIGNED_LONGS_EQUAL(confirmed, target.out.replies.size());
}

// Guards against a shutdown that abandons a flow which no agent has taken over
// yet, and against one that never ends.
TEST(agent_handover, stopping_agent_finishes_after_its_flows_moved) {
    source.core().handle(source.now, stop_event{.deadline = 30s}, source.out);
    source.wait(100ms);
    CHECK_FALSE(source.core().is_finished(source.now));
    source.respond();
    reply(offer());
    reply(offer());
    source.wait(2s);
    CHECK_FALSE(source.core().is_finished(source.now));
    source.wait(1s);
    CHECK_TRUE(source.core().is_finished(source.now));
}
