#include <golden/rs_approved_text.hpp>
#include <golden/rs_sessions.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread::golden;

TEST_GROUP(sessions){};

// Guards against a drain that cuts a request or keeps flows (P1, P8, P9).
TEST(sessions, backend_server_drained_under_load_hands_flows_over) {
    CHECK(is_approved("drain_under_load.txt", drain_under_load()));
}

// Guards against packets into a failure domain that is out (P4).
TEST(sessions, domain_out_and_back_resets_flow_and_moves_none_back) {
    CHECK(is_approved("domain_out_and_back.txt", domain_out_and_back()));
}

// Guards against an order that runs at two agents (P7).
TEST(sessions, order_repeated_through_two_balancers_runs_once) {
    CHECK(is_approved(
        "order_through_two_balancers.txt", order_through_two_balancers()));
}

// Guards against an untrue "not run" and a second run after a restart (P6, P7).
TEST(sessions, agent_restarted_during_order_replies_unknown) {
    CHECK(is_approved(
        "agent_restart_during_order.txt", agent_restart_during_order()));
}

// Guards against an edit that waits for the configuration service (P10).
TEST(sessions, edit_before_outage_is_spread_by_peers) {
    CHECK(is_approved("edit_during_outage.txt", edit_during_outage()));
}

// Guards against a flow lost, or an edit missed, in a split (P1, P10).
TEST(sessions, fleet_split_and_healed_keeps_flow) {
    CHECK(is_approved("split_and_heal.txt", split_and_heal()));
}
