#include <radishspread/caller/rs_caller_session.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace std::chrono_literals;

namespace {

struct recorder {
    std::vector<caller_packet> sent;
    std::vector<finished_request> finished_requests;
    std::vector<reason> losses;

    void send(caller_packet const& it) { sent.push_back(it); }
    void finished(finished_request& it) {
        finished_requests.push_back(std::move(it));
    }
    void flow_lost(reason cause) { losses.push_back(cause); }
};

std::vector<std::byte> bytes(std::size_t n) {
    return std::vector<std::byte>(n, std::byte{7});
}

} // namespace

TEST_GROUP(caller_flow) {
    instant const start{1s};
    recorder log;
    caller_session session{{.service = 1, .flow = 9}};

    caller_reply reply(reply_kind kind, request_id id = 0) const {
        return {.kind = kind, .service = 1, .flow = 9, .request = id};
    }

    caller_reply opened(open_id opening) const {
        auto it = reply(reply_kind::opened);
        it.cookie = route_cookie{.opening = opening};
        return it;
    }

    void open_with_request(bool idempotent = false) {
        session.open(start, log);
        session.request(start, bytes(4), idempotent, 5s, log);
        session.handle(start, opened(1), log);
    }
};

// A request sent before a cookie is adopted could run at several agents.
TEST(caller_flow, request_before_opened_waits_for_the_cookie) {
    session.open(start, log);
    session.request(start, bytes(4), false, 5s, log);
    CHECK_EQUAL(1, log.sent.size());
    session.handle(start, opened(1), log);
    CHECK_EQUAL(2, log.sent.size());
    CHECK_EQUAL(1, log.sent[1].cookie->opening);
}

// Echoing the cookie of a duplicated opening as well could run a request at two
// agents.
TEST(caller_flow, second_cookie_is_ignored) {
    open_with_request();
    session.handle(start, opened(2), log);
    session.tick(start + 300ms, log);
    CHECK_EQUAL(1, log.sent.back().cookie->opening);
}

// Reporting "not run" for a request that was sent would make the caller repeat
// it, and the request could run twice.
TEST(caller_flow, sent_request_past_deadline_ends_unknown) {
    open_with_request();
    session.tick(start + 6s, log);
    CHECK_EQUAL(1, log.finished_requests.size());
    CHECK_TRUE(log.finished_requests[0].result == request_result::unknown);
    auto const n = log.sent.size();
    session.tick(start + 7s, log);
    CHECK_EQUAL(n, log.sent.size());
}

TEST(caller_flow, unsent_request_past_deadline_ends_not_run) {
    session.open(start, log);
    session.request(start, bytes(4), false, 1s, log);
    session.tick(start + 2s, log);
    CHECK_TRUE(log.finished_requests.at(0).result == request_result::not_run);
}

// A lost or reordered part must not truncate the answer or leave a gap in it.
TEST(caller_flow, answer_with_lost_part_is_completed_by_retransmission) {
    open_with_request();
    auto const body = bytes(30);
    auto part = reply(reply_kind::answer, 1);
    part.total = 30;
    part.offset = 20;
    part.payload = std::span(body).subspan(20);
    session.handle(start, part, log);
    part.offset = 0;
    part.payload = std::span(body).first(10);
    session.handle(start, part, log);
    CHECK_TRUE(log.finished_requests.empty());
    session.tick(start + 250ms, log);
    CHECK_EQUAL(10, log.sent.back().received);
    part.offset = 10;
    part.payload = std::span(body).subspan(10);
    session.handle(start, part, log);
    CHECK_EQUAL(30, log.finished_requests.at(0).body.size());
}

// An answer to another request or flow must not finish this request.
TEST(caller_flow, answer_to_other_request_or_flow_is_ignored) {
    open_with_request();
    session.handle(start, reply(reply_kind::answer, 2), log);
    auto other = reply(reply_kind::answer, 1);
    other.flow = 8;
    session.handle(start, other, log);
    CHECK_TRUE(log.finished_requests.empty());
}

// Repeated openings carry the attempt number, so that they do not all go to the
// same unreachable agent, and they end at the opening deadline.
TEST(caller_flow, repeated_opening_counts_attempts_until_its_deadline) {
    session.open(start, log);
    session.tick(start + 200ms, log);
    CHECK_EQUAL(1, log.sent.back().attempt);
    session.tick(start + 11s, log);
    CHECK_EQUAL(1, log.losses.size());
}

// An agent on a failed host never resets its flows. The caller must detect the
// loss itself, or the flow would hang forever.
TEST(caller_flow, flow_without_any_reply_is_lost_when_requests_time_out) {
    open_with_request();
    session.tick(start + 6s, log);
    CHECK_FALSE(session.is_lost());
    session.request(start + 6s, bytes(4), true, 5s, log);
    session.tick(start + 11s, log);
    CHECK_TRUE(session.is_lost());
    CHECK_EQUAL(1, log.losses.size());
}

TEST(caller_flow, reset_ends_sent_requests_unknown) {
    open_with_request();
    auto it = reply(reply_kind::reset);
    it.reason = reason::domain_out;
    session.handle(start, it, log);
    CHECK_TRUE(log.finished_requests.at(0).result == request_result::unknown);
    CHECK_TRUE(session.is_lost());
}

TEST(caller_flow, moved_flow_sends_outstanding_requests_with_new_cookie) {
    open_with_request();
    auto it = reply(reply_kind::moved);
    it.cookie = route_cookie{.opening = 5};
    session.handle(start, it, log);
    CHECK_EQUAL(5, log.sent.back().cookie->opening);
    CHECK_TRUE(log.sent.back().kind == packet_kind::request);
}
