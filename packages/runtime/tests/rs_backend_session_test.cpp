#include "rs_http2_test_server.hpp"

#include <radishspread/runtime/rs_backend_session.hpp>

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;
using kind = backend_event_kind;

TEST_GROUP(backend_session) {
    test::http2_test_server server;
    std::vector<kind> kinds;
    std::map<dispatch_id, kind> results;
    std::string body;
    std::uint32_t max_streams = 0;
    std::unique_ptr<backend_session> session;

    void connect(std::size_t max_response = 1U << 20U) {
        backend_session_options const options{.target = server.local_endpoint(),
            .connection = 1,
            .max_response = max_response};
        session = std::make_unique<backend_session>(
            options, [this](backend_event const& it) { record_event(it); });
        CHECK_TRUE(run_until([this] { return has(kind::connected); }));
    }

    void record_event(backend_event const& it) {
        kinds.push_back(it.kind);
        if (it.kind == kind::connected)
            max_streams = it.max_streams;
        if (it.id != 0)
            results[it.id] = it.kind;
        if (it.kind == kind::responded)
            body.assign(
                reinterpret_cast<char const*>(it.body.data()), it.body.size());
    }

    bool run_until(std::function<bool()> const& done) {
        return test::run_until([&] {
            if (session != nullptr)
                session->flush();
            server.flush();
            return done();
        });
    }

    bool has(kind wanted) {
        return std::find(kinds.begin(), kinds.end(), wanted) != kinds.end();
    }

    void dispatch(dispatch_id id) {
        backend_request it;
        it.id = id;
        it.request = 1;
        session->dispatch(it);
    }

    bool wait_for(dispatch_id id, kind wanted) {
        run_until([&] { return results.contains(id); });
        return results.contains(id) && results[id] == wanted;
    }
};

// Guards against reporting a truncated body as a complete response (P5).
TEST(backend_session, complete_response_is_reported_with_its_whole_body) {
    server.max_streams = 7;
    connect();
    std::string const text(300'000, 'x');
    server.on_request = [&](std::int32_t id) {
        server.respond(id, text);
    };
    dispatch(11);
    CHECK_TRUE(wait_for(11, kind::responded));
    CHECK_TRUE(body == text);
    CHECK_EQUAL(7U, max_streams);
}

// A request must be reported as "not run" exactly if HTTP/2 guarantees it. Of
// the stream resets, only REFUSED_STREAM does.
TEST(backend_session, refused_stream_is_refused_and_other_reset_is_lost) {
    connect();
    server.on_request = [&](std::int32_t id) {
        auto const code =
            id == 1 ? NGHTTP2_REFUSED_STREAM : NGHTTP2_INTERNAL_ERROR;
        nghttp2_submit_rst_stream(
            server.session(), NGHTTP2_FLAG_NONE, id, code);
    };
    dispatch(11);
    CHECK_TRUE(wait_for(11, kind::refused));
    dispatch(12);
    CHECK_TRUE(wait_for(12, kind::lost));
}

// Response headers prove that the request ran, so a REFUSED_STREAM after them
// must not be reported as "not run".
TEST(backend_session, refused_stream_after_response_headers_is_lost) {
    connect();
    server.on_request = [&](std::int32_t id) {
        auto const status = make_header(":status", "200");
        nghttp2_submit_headers(server.session(), NGHTTP2_FLAG_NONE, id, nullptr,
            &status, 1, nullptr);
        server.flush();
        nghttp2_submit_rst_stream(
            server.session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
    };
    dispatch(11);
    CHECK_TRUE(wait_for(11, kind::lost));
}

// Streams above the last stream id of a GOAWAY did not run; the others may
// have run and are lost if the connection ends.
TEST(backend_session, goaway_refuses_only_streams_above_its_last_id) {
    connect();
    server.on_request = [&](std::int32_t) {
        if (server.requests.size() == 2)
            nghttp2_submit_goaway(server.session(), NGHTTP2_FLAG_NONE, 1,
                NGHTTP2_NO_ERROR, nullptr, 0);
    };
    dispatch(11);
    dispatch(12);
    CHECK_TRUE(wait_for(12, kind::refused));
    CHECK_TRUE(has(kind::going_away));
    CHECK_FALSE(results.contains(11));
    server.close();
    CHECK_TRUE(wait_for(11, kind::lost));
}

// A request that waits for a free stream when the connection is lost was never
// sent, so it is refused; a sent one may have run, so it is lost.
TEST(backend_session, connection_loss_refuses_unsent_and_loses_sent_requests) {
    server.max_streams = 1;
    connect();
    server.on_request = [&](std::int32_t) {
        server.close();
    };
    dispatch(11);
    dispatch(12);
    CHECK_TRUE(wait_for(11, kind::lost));
    CHECK_TRUE(wait_for(12, kind::refused));
    CHECK_TRUE(run_until([this] { return has(kind::closed); }));
}

// Guards against exhausting the agent's memory with an unbounded body.
TEST(backend_session, response_above_the_size_limit_is_lost) {
    connect(1000);
    server.on_request = [&](std::int32_t id) {
        server.respond(id, std::string(5000, 'x'));
    };
    dispatch(11);
    CHECK_TRUE(wait_for(11, kind::lost));
}

// The core expects no events of a connection that it has closed.
TEST(backend_session, closed_session_reports_no_events) {
    connect();
    server.on_request = [&](std::int32_t id) {
        server.respond(id, "late");
    };
    dispatch(11);
    session->flush();
    session->close();
    kinds.clear();
    auto const deadline = monotonic_now() + std::chrono::milliseconds(50);
    run_until([&] { return monotonic_now() >= deadline; });
    CHECK_TRUE(kinds.empty());
}
