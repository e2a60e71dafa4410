#include <radishspread/runtime/rs_http_server.hpp>

#include <radishspread/runtime/internal/rs_http_connection.hpp>
#include <radishspread/runtime/rs_clock.hpp>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>

namespace radishspread::runtime {

namespace {

constexpr guint tick_interval_ms = 200;
constexpr int backlog = 128;
/// Buffers of a connection in the kernel, in bytes. Requests are short; what
/// libsoup has not read counts towards the memory of the host.
constexpr int receive_buffer_size = 32 << 10;
constexpr int send_buffer_size = 256 << 10;
/// Share of the descriptors of the process; the others are for its own calls,
/// sockets and files.
constexpr std::size_t descriptor_share = 4;
constexpr std::size_t min_connections = 4;

constexpr char const* refusal_text =
    "HTTP/1.1 413 Payload Too Large\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

std::size_t limit_connections(std::size_t wanted) {
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0)
        return wanted;
    auto const share =
        static_cast<std::size_t>(files.rlim_cur / descriptor_share);
    return std::clamp(
        share, min_connections, std::max(min_connections, wanted));
}

// Returns the message of `error` and frees it.
std::string take_message(GError* error) {
    std::string text = error->message;
    g_error_free(error);
    return text;
}

GSocketAddress* new_address(endpoint at) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(at.address);
    native.sin_port = htons(at.port);
    return g_socket_address_new_from_native(&native, sizeof native);
}

bool has_body(SoupServerMessage* message) {
    auto* headers = soup_server_message_get_request_headers(message);
    switch (soup_message_headers_get_encoding(headers)) {
    case SOUP_ENCODING_NONE:
        return false;
    case SOUP_ENCODING_CONTENT_LENGTH:
        return soup_message_headers_get_content_length(headers) != 0;
    default:
        return true;
    }
}

http_connection* connection_of(SoupServerMessage* message) {
    return http_connection::find(
        soup_server_message_get_remote_address(message));
}

} // namespace

http_server::http_server(http_limits limits)
    : limits_(limits),
      server_(soup_server_new("server-header", "radishspread", nullptr)),
      timer_(g_timeout_add(
          tick_interval_ms,
          [](gpointer self) -> gboolean {
              static_cast<http_server*>(self)->tick(monotonic_now());
              return G_SOURCE_CONTINUE;
          },
          this)) {
    limits_.max_connections = limit_connections(limits.max_connections);
    g_signal_connect(
        server_, "request-started", G_CALLBACK(handle_started), this);
}

http_server::~http_server() {
    g_source_remove(timer_);
    for (auto const& it : listeners_) {
        pause(it.socket);
        g_object_unref(it.socket);
    }
    soup_server_disconnect(server_);
    connections_.clear();
    g_object_unref(server_);
}

void http_server::add(std::string const& path, handler on_get) {
    routes_.push_back(std::make_unique<route>(
        route{.server = *this, .on_get = std::move(on_get)}));
    soup_server_add_handler(
        server_, path.c_str(), handle_request, routes_.back().get(), nullptr);
}

std::string http_server::listen(endpoint at) {
    GError* error = nullptr;
    auto* socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, &error);
    if (socket == nullptr)
        return take_message(error);
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_listen_backlog(socket, backlog);
    // Accepted sockets inherit the sizes.
    g_socket_set_option(
        socket, SOL_SOCKET, SO_RCVBUF, receive_buffer_size, nullptr);
    g_socket_set_option(
        socket, SOL_SOCKET, SO_SNDBUF, send_buffer_size, nullptr);
    auto* address = new_address(at);
    bool const is_open =
        g_socket_bind(socket, address, TRUE, &error) != FALSE &&
        g_socket_listen(socket, &error) != FALSE;
    g_object_unref(address);
    if (!is_open) {
        g_object_unref(socket);
        return take_message(error);
    }
    listeners_.push_back({.socket = socket, .source = nullptr});
    watch(listeners_.back());
    return {};
}

void http_server::watch(listener& at) {
    at.source = g_socket_create_source(at.socket, G_IO_IN, nullptr);
    g_source_set_callback(
        at.source, G_SOURCE_FUNC(handle_connection), this, nullptr);
    g_source_attach(at.source, nullptr);
}

void http_server::pause(GSocket* socket) {
    for (auto& it : listeners_) {
        if (it.socket != socket || it.source == nullptr)
            continue;
        g_source_destroy(it.source);
        g_source_unref(it.source);
        it.source = nullptr;
    }
}

gboolean http_server::handle_connection(
    GSocket* socket, GIOCondition, gpointer self) {
    static_cast<http_server*>(self)->accept(socket);
    return G_SOURCE_CONTINUE;
}

void http_server::accept(GSocket* listening) {
    auto* socket = g_socket_accept(listening, nullptr, nullptr);
    // Without descriptors, the client stays in the queue, and the socket stays
    // readable: trying at once would take the whole processor.
    if (socket == nullptr) {
        refuse(http_refusal::descriptors);
        return pause(listening);
    }
    if (make_room()) {
        g_socket_set_blocking(socket, FALSE);
        connections_.push_back(std::make_unique<http_connection>(socket,
            monotonic_now() + limits_.header_time,
            [this](http_connection& closed) {
                connections_.remove_if(
                    [&](auto const& it) { return it.get() == &closed; });
            }));
        auto const& added = *connections_.back();
        auto* stream = added.stream();
        soup_server_accept_iostream(
            server_, stream, added.local(), added.remote(), nullptr);
        // Frees the stream and the connection if libsoup did not take it.
        g_object_unref(stream);
    }
    g_object_unref(socket);
}

// A client that waits for a response has more claim to its place than one that
// has not sent a request.
bool http_server::make_room() {
    auto const open = std::count_if(connections_.begin(), connections_.end(),
        [](auto const& it) { return !it->is_shut_down(); });
    if (static_cast<std::size_t>(open) < limits_.max_connections)
        return true;
    refuse(http_refusal::connections);
    auto const oldest = std::find_if(
        connections_.begin(), connections_.end(), [](auto const& it) {
            return !it->is_in_request && !it->is_shut_down();
        });
    if (oldest == connections_.end())
        return false;
    (*oldest)->shut_down();
    return true;
}

void http_server::tick(instant now) {
    for (auto& it : listeners_)
        if (it.source == nullptr)
            watch(it);
    for (auto const& it : connections_) {
        if (it->is_shut_down() || now < it->deadline)
            continue;
        refuse(http_refusal::deadline);
        it->shut_down();
    }
}

void http_server::refuse(http_refusal reason) {
    ++refusals_[static_cast<std::size_t>(reason)];
}

void http_server::handle_started(
    SoupServer*, SoupServerMessage* message, gpointer self) {
    soup_message_body_set_accumulate(
        soup_server_message_get_request_body(message), FALSE);
    g_signal_connect(message, "got-headers", G_CALLBACK(handle_headers), self);
    // libsoup reads only one request from a stream that it did not accept.
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Connection",
        "close");
}

void http_server::handle_headers(SoupServerMessage* message, gpointer self) {
    auto& server = *static_cast<http_server*>(self);
    auto* connection = connection_of(message);
    if (connection == nullptr)
        return;
    connection->is_in_request = true;
    connection->deadline = monotonic_now() + server.limits_.request_time;
    if (!has_body(message))
        return;
    // libsoup would read the body to its end before it responds, so the
    // response goes past it.
    server.refuse(http_refusal::body);
    connection->send(refusal_text);
    connection->shut_down();
}

void http_server::handle_request(SoupServer*, SoupServerMessage* message,
    char const*, GHashTable*, gpointer data) {
    auto const& found = *static_cast<route*>(data);
    if (std::string_view(soup_server_message_get_method(message)) != "GET") {
        soup_server_message_set_status(
            message, SOUP_STATUS_METHOD_NOT_ALLOWED, nullptr);
        return;
    }
    found.server.respond(message, found.on_get);
}

void http_server::respond(SoupServerMessage* message, handler const& on_get) {
    auto const pending = pending_bytes();
    auto response = on_get();
    if (pending > 0 &&
        pending + response.body.size() > limits_.max_pending_bytes) {
        refuse(http_refusal::pending_responses);
        response = {.status = SOUP_STATUS_SERVICE_UNAVAILABLE};
    }
    if (auto* connection = connection_of(message); connection != nullptr)
        connection->pending_bytes = response.body.size();
    soup_server_message_set_status(message, response.status, nullptr);
    soup_server_message_set_response(message, response.content_type.c_str(),
        SOUP_MEMORY_COPY, response.body.data(), response.body.size());
}

std::size_t http_server::pending_bytes() const {
    std::size_t sum = 0;
    for (auto const& it : connections_)
        sum += it->pending_bytes;
    return sum;
}

} // namespace radishspread::runtime
