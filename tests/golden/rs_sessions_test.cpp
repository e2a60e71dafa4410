#include <golden/rs_approved_text.hpp>
#include <golden/rs_sessions.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread::golden;

TEST_GROUP(sessions){};

// Guards against a drain that interrupts a request or leaves flows at the
// drained backend server (P1, P8, P9).
TEST(sessions, backend_server_drained_under_load_hands_flows_over) {
    CHECK(is_approved("drain_under_load.txt", drain_under_load()));
}

// Guards against packets that are sent into a failure domain that is out (P4).
TEST(sessions, domain_out_and_back_resets_flow_and_moves_none_back) {
    CHECK(is_approved("domain_out_and_back.txt", domain_out_and_back()));
}

// Guards against an order that two agents run: it is repeated through balancers
// whose views differ (P7).
TEST(sessions, order_repeated_through_two_balancers_runs_once) {
    CHECK(is_approved(
        "order_through_two_balancers.txt", order_through_two_balancers()));
}

// Guards against an agent that, restarted after it dispatched an order, reports
// "not run" or lets the order run again (P6, P7).
TEST(sessions, agent_restarted_during_order_replies_unknown) {
    CHECK(is_approved(
        "agent_restart_during_order.txt", agent_restart_during_order()));
}

// Guards against an edit that takes effect only after the outage of the
// configuration service, although a peer has read it (P10).
TEST(sessions, edit_before_outage_is_spread_by_peers) {
    CHECK(is_approved("edit_during_outage.txt", edit_during_outage()));
}

// Guards against a flow that is lost, or an edit that is missed, while the
// fleet is partitioned (P1, P10).
TEST(sessions, fleet_split_and_healed_keeps_flow) {
    CHECK(is_approved("split_and_heal.txt", split_and_heal()));
}
