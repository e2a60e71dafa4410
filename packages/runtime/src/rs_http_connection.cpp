#include <radishspread/runtime/internal/rs_http_connection.hpp>

#include <sys/socket.h>

#include <cstring>
#include <utility>

namespace radishspread::runtime {

namespace {

constexpr char const* key = "radishspread-connection";

} // namespace

http_connection::http_connection(GSocket* socket, instant first_deadline,
    std::function<void(http_connection&)> on_closed)
    : deadline(first_deadline), socket_(G_SOCKET(g_object_ref(socket))),
      stream_(
          G_IO_STREAM(g_socket_connection_factory_create_connection(socket))),
      local_(g_socket_get_local_address(socket, nullptr)),
      remote_(g_socket_get_remote_address(socket, nullptr)),
      on_closed_(std::move(on_closed)) {
    g_object_weak_ref(G_OBJECT(stream_), handle_freed, this);
    if (remote_ != nullptr)
        g_object_set_data(G_OBJECT(remote_), key, this);
}

http_connection::~http_connection() {
    if (stream_ != nullptr)
        g_object_weak_unref(G_OBJECT(stream_), handle_freed, this);
    if (remote_ != nullptr)
        g_object_set_data(G_OBJECT(remote_), key, nullptr);
    g_clear_object(&local_);
    g_clear_object(&remote_);
    g_object_unref(socket_);
}

http_connection* http_connection::find(GSocketAddress* remote) {
    if (remote == nullptr)
        return nullptr;
    return static_cast<http_connection*>(
        g_object_get_data(G_OBJECT(remote), key));
}

void http_connection::send(char const* text) {
    // The text is far shorter than the buffer, so no part of it is left over
    // unless the client does not read, and that client gets no answer.
    g_socket_send(socket_, text, std::strlen(text), nullptr, nullptr);
}

void http_connection::shut_down() {
    is_shut_down_ = true;
    // A reset on close; otherwise a client that goes on sending would wait for
    // the window of a socket that nobody reads any more.
    linger const reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(
        g_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    g_socket_shutdown(socket_, TRUE, TRUE, nullptr);
}

void http_connection::handle_freed(gpointer self, GObject*) {
    auto& connection = *static_cast<http_connection*>(self);
    connection.stream_ = nullptr;
    connection.on_closed_(connection);
}

} // namespace radishspread::runtime
