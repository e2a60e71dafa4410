#include "rs_packet_sink.hpp"

#include <radishspread/core/internal/rs_reassigned_lists.hpp>
#include <radishspread/core/rs_flow_list.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::internal;
using namespace radishspread::test;

TEST_GROUP(reassigned_lists) {
    static constexpr std::uint64_t version = 5;
    static constexpr std::uint64_t listed_flow = 70;
    static constexpr std::uint64_t other_flow = 71;

    reassigned_lists lists;
    agent_of_service const agent{
        .agent = agent_address(1), .service = test_service};

    bool reply(std::uint32_t number, bool is_uncertain = false,
        refusal why = refusal::none) {
        auto const bytes = encode_flow_list({{listed_flow}});
        return lists.record(agent.agent, {.kind = agent_packet_kind::listed,
                                             .why = why,
                                             .is_uncertain = is_uncertain,
                                             .is_of_reassigned = true,
                                             .service = test_service,
                                             .handshake = number,
                                             .packet = bytes});
    }

    list_finding find(std::uint64_t flow, std::uint32_t first = 1) {
        return lists.find(agent, flow, first, version);
    }
};

TEST(reassigned_lists, list_covers_the_searches_before_its_request) {
    CHECK(find(other_flow) == list_finding::none);
    CHECK_EQUAL(1, lists.start_request(version));
    CHECK(reply(1));
    CHECK(find(other_flow) == list_finding::absent);
    CHECK(find(listed_flow) == list_finding::possible);
    CHECK(find(other_flow, 2) == list_finding::none);
    CHECK(find(other_flow, 0) == list_finding::none);
}

TEST(reassigned_lists, uncertain_or_long_list_rejects_no_flow) {
    lists.start_request(version);
    reply(1, true);
    CHECK(find(other_flow) == list_finding::uncertain);
    CHECK(find(listed_flow) == list_finding::possible);
    lists.start_request(version);
    reply(2, false, refusal::overloaded);
    CHECK(find(other_flow) == list_finding::possible);
}

// An address that belongs to a server of another service now says nothing
// about the flows of the one that had it before.
TEST(reassigned_lists, list_holds_for_the_service_that_was_asked_for) {
    lists.start_request(version);
    reply(1);
    agent_of_service const successor{
        .agent = agent.agent, .service = test_service + 1};
    CHECK(lists.find(successor, other_flow, 1, version) == list_finding::none);
}

TEST(reassigned_lists, late_duplicate_and_unknown_replies_are_ignored) {
    lists.start_request(version);
    lists.start_request(version);
    CHECK(reply(2));
    CHECK(!reply(2));
    CHECK(!reply(1));
    CHECK(!reply(3));
    lists.start_request(version + 1);
    CHECK(!reply(2));
    CHECK(find(other_flow) == list_finding::none);
}

TEST(reassigned_lists, request_is_answered_after_the_last_reply) {
    lists.start_request(version);
    lists.request_sent();
    CHECK(!lists.is_answered());
    reply(1);
    CHECK(lists.is_answered());
}
