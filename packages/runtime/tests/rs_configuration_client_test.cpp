#include "rs_http2_test_server.hpp"

#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_configuration_client.hpp>
#include <radishspread/runtime/rs_unique_fd.hpp>

#include <sys/socket.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

namespace {

/// Responds to each connection with `head`, and then with `tail` again and
/// again, whatever the request is.
class raw_server {
public:
    std::string head;
    std::string tail;
    std::size_t requests = 0;
    /// Closes the connection instead of the response to this request and all
    /// later ones.
    std::size_t first_unanswered = 1000;

    raw_server()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof native;
        auto* generic = reinterpret_cast<sockaddr*>(&native);
        static_cast<void>(::bind(listener_.get(), generic, size));
        static_cast<void>(::listen(listener_.get(), 8));
        static_cast<void>(::getsockname(listener_.get(), generic, &size));
        address = {.address = INADDR_LOOPBACK, .port = ntohs(native.sin_port)};
    }

    /// Accepts, reads and writes what is possible without waiting.
    void step() {
        unique_fd fd(
            ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK));
        if (fd)
            clients_.push_back({.fd = std::move(fd)});
        for (auto& it : clients_)
            step(it);
        std::erase_if(clients_, [](auto const& it) { return it.is_over; });
    }

    endpoint address;
    std::size_t sent = 0; ///< Bytes.

private:
    struct client {
        unique_fd fd;
        std::string rest;
        bool has_request = false;
        bool is_over = false;
    };

    void step(client& it) {
        std::array<char, 4096> buf{};
        if (::recv(it.fd.get(), buf.data(), buf.size(), 0) > 0) {
            ++requests;
            it.is_over = requests >= first_unanswered;
            it.has_request = !it.is_over;
            it.rest = head;
        }
        if (!it.has_request)
            return;
        if (it.rest.empty())
            it.rest = tail;
        auto const n =
            ::send(it.fd.get(), it.rest.data(), it.rest.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return;
        sent += static_cast<std::size_t>(n);
        it.rest.erase(0, static_cast<std::size_t>(n));
    }

    unique_fd listener_;
    std::vector<client> clients_;
};

std::string compress(std::string const& text) {
    auto* converter =
        G_CONVERTER(g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP, -1));
    std::string out(1U << 20U, '\0');
    gsize taken = 0;
    gsize size = 0;
    g_converter_convert(converter, text.data(), text.size(), out.data(),
        out.size(), G_CONVERTER_INPUT_AT_END, &taken, &size, nullptr);
    g_object_unref(converter);
    CHECK_EQUAL(text.size(), taken);
    out.resize(size);
    return out;
}

} // namespace

TEST_GROUP(configuration_client) {
    static constexpr std::size_t max_reply_size = 1U << 20U;
    raw_server server;
    raw_server elsewhere;
    configuration_client client{{.service = server.address,
        .max_reply_size = max_reply_size,
        .era_header = "Era"}};
    std::optional<section_response> response;

    /// Cancelled calls are freed by the main loop.
    void teardown() override {
        client.reset();
        while (g_main_context_iteration(nullptr, FALSE) != FALSE)
            continue;
    }

    /// Makes a call; returns whether it has ended.
    bool call(duration timeout) {
        client.get(server.address, "/read", monotonic_now() + timeout,
            [this](section_response const& it) { response = it; });
        return test::run_until([&] {
            server.step();
            elsewhere.step();
            client.tick(monotonic_now());
            return response.has_value();
        });
    }
};

// The address in a redirect was requested, whatever it was, and what came from
// there was believed.
TEST(configuration_client, redirect_ends_the_call_with_its_status) {
    elsewhere.head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    server.head =
        "HTTP/1.1 302 Found\r\nContent-Length: 0\r\nLocation: http://" +
        to_string(elsewhere.address) + "/read\r\n\r\n";
    CHECK(call(std::chrono::seconds(2)));
    CHECK_EQUAL(302, response->status);
    CHECK(!response->is_ok());
    CHECK_EQUAL(0, elsewhere.requests);
    CHECK_EQUAL(1, server.requests);
}

// A reply of a few kilobytes may have gigabytes in it.
TEST(configuration_client, compressed_reply_is_limited_by_its_inflated_size) {
    auto const body = compress(std::string(32U << 20U, ' '));
    server.head = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
                  "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body;
    CHECK(call(std::chrono::seconds(2)));
    CHECK(response->code == std::errc::message_size);
    CHECK(response->body.size() <= max_reply_size + (64U << 10U));
}

// Headers have no limit of their own in HTTP.
TEST(configuration_client, endless_headers_end_the_call) {
    server.head = "HTTP/1.1 200 OK\r\n";
    server.tail = "X-Name: " + std::string(1000, 'x') + "\r\n";
    CHECK(call(std::chrono::seconds(2)));
    CHECK(!response->is_ok());
    CHECK(server.sent < 16U << 20U);
}

// Each interim response starts another one, and none is the reply.
TEST(configuration_client, endless_interim_responses_end_with_the_deadline) {
    server.tail = "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK(call(std::chrono::milliseconds(300)));
    CHECK(!response->is_ok());
}

// A name and a password of nobody were not to be sent, nor the call repeated.
TEST(configuration_client, request_for_authentication_ends_the_call) {
    server.head = "HTTP/1.1 401 No\r\nWWW-Authenticate: Basic realm=\"a\"\r\n"
                  "Set-Cookie: a=b\r\nContent-Length: 0\r\n\r\n";
    CHECK(call(std::chrono::seconds(2)));
    CHECK_EQUAL(401, response->status);
    CHECK_EQUAL(1, server.requests);
}

// libsoup repeated a call by itself if the server had closed a connection that
// it used again. The call was not counted by the budget, and a repeated call
// that also ended in another way was freed twice.
TEST(configuration_client, call_on_a_closed_connection_is_not_repeated) {
    server.head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    server.first_unanswered = 2;
    CHECK(call(std::chrono::seconds(2)));
    CHECK(response->is_ok());
    response.reset();
    CHECK(call(std::chrono::seconds(2)));
    CHECK(!response->is_ok());
    CHECK_EQUAL(2, server.requests);
}

// A call that has ended held its connection until the next tick, and calls wait
// if there are as many as connections.
TEST(configuration_client, ended_calls_hold_no_connection) {
    constexpr std::size_t more_than_connections = 8;
    server.head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    std::size_t ended = 0;
    for (std::size_t n = 0; n != more_than_connections; ++n)
        client.get(server.address, "/read",
            monotonic_now() + std::chrono::seconds(2),
            [&](section_response const& it) { ended += it.is_ok() ? 1U : 0U; });
    CHECK(test::run_until([&] {
        server.step();
        return ended == more_than_connections;
    }));
}

TEST(configuration_client, era_of_a_reply_comes_from_its_header) {
    server.head = "HTTP/1.1 200 OK\r\nEra: 12\r\nContent-Length: 2\r\n\r\n{}";
    CHECK(call(std::chrono::seconds(2)));
    CHECK_EQUAL(12, response->era);
}

TEST(configuration_client, reply_without_a_number_as_era_has_era_0) {
    server.head = "HTTP/1.1 200 OK\r\nEra: new\r\nContent-Length: 2\r\n\r\n{}";
    CHECK(call(std::chrono::seconds(2)));
    CHECK_EQUAL(0, response->era);
}
