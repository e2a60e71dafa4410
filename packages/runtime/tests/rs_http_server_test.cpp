#include "rs_http2_test_server.hpp"

#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_http_server.hpp>
#include <radishspread/runtime/rs_unique_fd.hpp>

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

namespace {

constexpr std::size_t megabyte = 1U << 20U;

/// Connection of a client that writes and reads whatever the test asks for.
class raw_client {
public:
    explicit raw_client(endpoint to)
        : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_addr.s_addr = htonl(to.address);
        native.sin_port = htons(to.port);
        static_cast<void>(::connect(
            fd_.get(), reinterpret_cast<sockaddr*>(&native), sizeof native));
    }

    /// Writes as much of `text` as the socket takes.
    std::size_t write(std::string_view text) {
        auto const n =
            ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN)
            is_closed_ = true;
        return n < 0 ? 0 : static_cast<std::size_t>(n);
    }

    /// Reads what has arrived; returns all that was read so far.
    std::string const& read() {
        std::array<char, 65536> buf{};
        for (;;) {
            auto const n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
            if (n == 0 || (n < 0 && errno != EAGAIN))
                is_closed_ = true;
            if (n <= 0)
                return text_;
            text_.append(buf.data(), static_cast<std::size_t>(n));
        }
    }

    /// Whether the server has closed the connection.
    [[nodiscard]] bool is_closed() const { return is_closed_; }

private:
    unique_fd fd_;
    std::string text_;
    bool is_closed_ = false;
};

/// Returns an address on which nothing listens.
endpoint free_address() {
    unique_fd const fd(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof native;
    auto* generic = reinterpret_cast<sockaddr*>(&native);
    static_cast<void>(::bind(fd.get(), generic, size));
    static_cast<void>(::getsockname(fd.get(), generic, &size));
    return {.address = INADDR_LOOPBACK, .port = ntohs(native.sin_port)};
}

} // namespace

TEST_GROUP(http_server) {
    endpoint at = free_address();
    std::unique_ptr<http_server> server;
    std::size_t handled = 0;

    void start(http_limits limits = {}) {
        server = std::make_unique<http_server>(limits);
        server->add("/ready", [this] {
            ++handled;
            return http_response{.body = "yes"};
        });
        server->add("/page", [] {
            return http_response{.body = std::string(4 * megabyte, 'x')};
        });
        CHECK_EQUAL(std::string(), server->listen(at));
    }

    /// Closed connections are freed by the main loop.
    void teardown() override {
        server.reset();
        while (g_main_context_iteration(nullptr, FALSE) != FALSE)
            continue;
    }

    /// Sends `head` and then `block` again and again until the server closes
    /// the connection, at most `limit` bytes. Returns the bytes it took.
    std::size_t pour(raw_client & client, std::string_view head,
        std::string_view block, std::size_t limit) {
        std::size_t sent = 0;
        std::string_view rest = head;
        test::run_until([&] {
            auto const n = client.write(rest);
            sent += n;
            rest.remove_prefix(n);
            if (rest.empty())
                rest = block;
            client.read();
            return client.is_closed() || sent >= limit;
        });
        return sent;
    }
};

// The body was collected in memory; one of 300 MB ended the process.
TEST(http_server, long_body_is_refused_and_not_read) {
    start();
    raw_client client(at);
    auto const sent = pour(client,
        "GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 300000000\r\n\r\n",
        std::string(megabyte, 'x'), 64 * megabyte);
    CHECK(client.is_closed());
    CHECK(sent < 8 * megabyte);
    STRCMP_CONTAINS("HTTP/1.1 413", client.read().c_str());
    CHECK_EQUAL(0, handled);
}

// A chunked body has no length that could be checked and may never end.
TEST(http_server, endless_chunked_body_is_refused_and_not_read) {
    start();
    raw_client client(at);
    auto const sent = pour(client,
        "GET /ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10000\r\n" + std::string(65536, 'x') + "\r\n", 64 * megabyte);
    CHECK(client.is_closed());
    CHECK(sent < 8 * megabyte);
    STRCMP_CONTAINS("HTTP/1.1 413", client.read().c_str());
}

// Headers without an end are a body by another name.
TEST(http_server, endless_headers_are_refused) {
    start();
    raw_client client(at);
    auto const sent = pour(client, "GET /ready HTTP/1.1\r\nHost: a\r\n",
        "X-Name: " + std::string(1000, 'x') + "\r\n", 64 * megabyte);
    CHECK(client.is_closed());
    CHECK(sent < 8 * megabyte);
}

// Probes and peers must be served as before. Without the header, a client could
// send its next request into a connection that is being closed.
TEST(http_server, request_without_body_is_answered_and_connection_closed) {
    start();
    raw_client client(at);
    client.write("GET /ready HTTP/1.1\r\nHost: a\r\n"
                 "Content-Length: 0\r\n\r\n");
    CHECK(test::run_until([&] {
        client.read();
        return client.is_closed();
    }));
    STRCMP_CONTAINS("HTTP/1.1 200", client.read().c_str());
    STRCMP_CONTAINS("Connection: close", client.read().c_str());
    CHECK(client.read().ends_with("yes"));
    CHECK_EQUAL(0, server->connections());
}

// Each connection holds a descriptor and memory; a client that opens many must
// not keep others out.
TEST(http_server, idle_connections_beyond_the_limit_are_closed) {
    constexpr std::size_t limit = 8;
    start({.max_connections = limit});
    std::vector<std::unique_ptr<raw_client>> idle;
    for (std::size_t n = 0; n < 4 * limit; ++n)
        idle.push_back(std::make_unique<raw_client>(at));
    raw_client last(at);
    last.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(test::run_until([&] { return last.read().ends_with("yes"); }));
    CHECK(server->connections() <= limit);
    CHECK(server->refusals(http_refusal::connections) > 0);
    CHECK((idle.front()->read(), idle.front()->is_closed()));
}

// A client that sends a byte now and then held its connection for ever.
TEST(http_server, headers_that_take_too_long_end_the_connection) {
    start({.header_time = std::chrono::milliseconds(300)});
    raw_client client(at);
    CHECK(test::run_until([&] {
        client.write("X");
        client.read();
        return client.is_closed();
    }));
    CHECK(test::run_until([&] { return server->connections() == 0; }));
}

// The rest of a response that is never read stayed in memory.
TEST(http_server, response_that_is_never_read_ends_the_connection) {
    start({.request_time = std::chrono::milliseconds(300)});
    raw_client client(at);
    CHECK(test::run_until([&] {
        if (server->connections() == 0)
            return false;
        client.write("GET /page HTTP/1.1\r\nHost: a\r\n\r\n");
        return server->refusals(http_refusal::deadline) > 0;
    }));
    CHECK(test::run_until([&] { return server->connections() == 0; }));
}

// Many clients that read nothing held a copy of the response each.
TEST(http_server, responses_that_wait_to_be_read_are_bounded) {
    start({.max_pending_bytes = 9 * megabyte});
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t n = 0; n < 8; ++n)
        clients.push_back(std::make_unique<raw_client>(at));
    CHECK(test::run_until([&] { return server->connections() == 8; }));
    for (auto const& it : clients)
        it->write("GET /page HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(test::run_until([&] {
        return server->refusals(http_refusal::pending_responses) == 6;
    }));
}

// A connection that cannot be accepted leaves its listening socket readable;
// the process took a whole core until a descriptor was free.
TEST(http_server, connection_without_a_descriptor_is_tried_again_at_a_pace) {
    start();
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    raw_client client(at);
    auto const next = unique_fd(::dup(0)).get();
    rlimit full = before;
    full.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &full);
    std::size_t steps = 0;
    auto const end = monotonic_now() + std::chrono::milliseconds(500);
    test::run_until([&] {
        ++steps;
        return monotonic_now() >= end;
    });
    setrlimit(RLIMIT_NOFILE, &before);
    CHECK(steps < 300);
    CHECK(server->refusals(http_refusal::descriptors) > 0);
    client.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(test::run_until([&] { return client.read().ends_with("yes"); }));
}
