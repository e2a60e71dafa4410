#include "rs_http2_test_server.hpp"

#include <radishspread/runtime/rs_peer_client.hpp>
#include <radishspread/runtime/rs_peer_server.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

TEST_GROUP(peer_server) {
    std::vector<std::string> logged_texts;
    std::shared_ptr<section> published = std::make_shared<section>();
    peer_server_options options;
    std::unique_ptr<peer_server> server;
    peer_client client;
    endpoint server_endpoint;

    void setup() override {
        published->name = "service/kit-portal";
        published->held = 9;
        published->text = std::string(200'000, 's');
        // Shorter than the defaults, so that the tests do not take seconds.
        options.watchdog = {.progress_timeout = std::chrono::milliseconds(40),
            .busy_limit = std::chrono::milliseconds(400),
            .idle_limit = std::chrono::milliseconds(150)};
    }

    void listen() {
        server = std::make_unique<peer_server>(
            options, peer_server_source{.find =
                                            [this](std::string_view name) {
                                                return name == published->name
                                                           ? published
                                                           : section_ptr();
                                            },
                         .index = [] { return std::vector<digest_entry>(); },
                         .log =
                             [this](log_event const& it) {
                                 logged_texts.emplace_back(it.text);
                             }});
        CHECK_FALSE(server->listen({.address = INADDR_LOOPBACK, .port = 0}));
        server_endpoint = {.address = INADDR_LOOPBACK, .port = server->port()};
    }

    unique_fd connect_raw() {
        std::error_code ec;
        auto fd = start_connect(server_endpoint, ec);
        CHECK_TRUE(run_until([this] { return server->connections() > 0; }));
        return fd;
    }

    bool run_until(std::function<bool()> const& done) {
        return test::run_until([&] {
            auto const now = monotonic_now();
            client.tick(now);
            server->tick(now);
            client.flush();
            server->flush();
            return done();
        });
    }

    bool is_dropped_with(std::string const& reason) {
        run_until([this] { return server->connections() == 0; });
        return server->connections() == 0 && logged_texts.size() == 1 &&
               logged_texts.front() == reason;
    }

    section_response get(std::string const& path) {
        std::optional<section_response> out;
        client.get(monotonic_now(), server_endpoint, path,
            [&](section_response const& it) { out = it; });
        CHECK_TRUE(run_until([&] { return out.has_value(); }));
        return out.value_or(section_response());
    }
};

// Guards against truncated or altered sections, which the reading peer would
// put into effect.
TEST(peer_server, section_arrives_whole_with_revision_and_tag) {
    listen();
    auto const it = get("/v1/sections/service/kit-portal");
    CHECK_TRUE(it.is_ok());
    CHECK_EQUAL(9U, it.held);
    CHECK_TRUE(it.body == published->text);
    CHECK_TRUE(it.tag == section_tag({}, published->name, 9, it.body));
    CHECK_FALSE(it.tag == section_tag({}, published->name, 10, it.body));
    CHECK_EQUAL(404U, get("/v1/sections/service/other").status);
}

// Guards against connections that never send anything and so use up the
// server's connection limit.
TEST(peer_server, connection_without_requests_is_dropped) {
    listen();
    auto const fd = connect_raw();
    CHECK_TRUE(is_dropped_with("idle"));
}

// Guards against a peer that requests a section and then stops reading, which
// would occupy memory of the server indefinitely.
TEST(peer_server, peer_that_stops_reading_is_dropped) {
    published->text = std::string(max_section_size, 's');
    listen();
    auto const fd = connect_raw();
    std::string sent = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    sent.append("\0\0\0\4\0\0\0\0\0", 9);
    // HEADERS frame of stream 1 with END_STREAM and END_HEADERS. Its block has
    // `:method GET` and `:scheme http` indexed, `:path` and `:authority`
    // literal.
    std::string const path = "/v1/sections/service/kit-portal";
    std::string block = "\x82\x86\x04";
    block += static_cast<char>(path.size()) + path + "\x01\x01x";
    sent.append("\0\0", 2);
    sent += static_cast<char>(block.size());
    sent.append("\1\5\0\0\0\1", 6);
    sent += block;
    CHECK_EQUAL(static_cast<ssize_t>(sent.size()),
        write(fd.get(), sent.data(), sent.size()));
    CHECK_TRUE(is_dropped_with("no progress"));
}

// Guards against unlimited memory use by connections.
TEST(peer_server, connection_above_the_limit_is_refused) {
    options.max_connections = 1;
    listen();
    auto const first = connect_raw();
    std::error_code ec;
    auto const second = start_connect(server_endpoint, ec);
    run_until([this] { return !logged_texts.empty(); });
    CHECK_EQUAL(1U, server->connections());
}

// An unresponsive peer must not block a read, which can use another source.
TEST(peer_server, read_from_an_unresponsive_peer_fails) {
    listen();
    test::http2_test_server unresponsive;
    server_endpoint = unresponsive.local_endpoint();
    auto const it = get("/v1/index");
    CHECK_TRUE(it.code == std::errc::timed_out);
}
