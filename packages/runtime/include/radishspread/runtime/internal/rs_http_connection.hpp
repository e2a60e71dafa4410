#ifndef RADISHSPREAD_RUNTIME_INTERNAL_RS_HTTP_CONNECTION_HPP
#define RADISHSPREAD_RUNTIME_INTERNAL_RS_HTTP_CONNECTION_HPP

#include <radishspread/core/rs_time.hpp>

#include <gio/gio.h>

#include <cstddef>
#include <functional>

namespace radishspread::runtime {

/// Accepted connection of an `http_server`. libsoup owns the stream; this
/// object watches its time and can end it.
class http_connection {
public:
    /// `on_closed` is called when libsoup has freed the stream.
    http_connection(GSocket* socket, instant first_deadline,
        std::function<void(http_connection&)> on_closed);
    ~http_connection();
    http_connection(http_connection const&) = delete;
    http_connection& operator=(http_connection const&) = delete;

    /// Returns the connection whose `stream` has this remote address; null if
    /// it has been freed.
    [[nodiscard]] static http_connection* find(GSocketAddress* remote);

    [[nodiscard]] GIOStream* stream() const { return stream_; }
    [[nodiscard]] GSocketAddress* local() const { return local_; }
    [[nodiscard]] GSocketAddress* remote() const { return remote_; }

    /// Sends as much of `text` as fits into the socket's buffer.
    void send(char const* text);
    /// Ends the connection: libsoup reads the end of the stream and frees it.
    void shut_down();
    [[nodiscard]] bool is_shut_down() const { return is_shut_down_; }

    instant deadline;
    std::size_t pending_bytes = 0; ///< Of the response.
    bool is_in_request = false;    ///< Headers read, response not yet taken.

private:
    static void handle_freed(gpointer self, GObject* stream);

    GSocket* socket_;
    GIOStream* stream_;
    GSocketAddress* local_;
    GSocketAddress* remote_;
    std::function<void(http_connection&)> on_closed_;
    bool is_shut_down_ = false;
};

} // namespace radishspread::runtime

#endif
