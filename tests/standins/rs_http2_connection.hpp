#ifndef RADISHSPREAD_TESTS_STANDINS_RS_HTTP2_CONNECTION_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_HTTP2_CONNECTION_HPP

#include <radishspread/runtime/rs_http2_transport.hpp>

#include <standins/rs_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace radishspread::standins {

/// A completely received request of one stream.
struct http2_request {
    std::int32_t stream = 0;
    std::string method;
    std::string path;
    std::string deadline_ms; ///< Value of the header x-deadline-ms.
    std::string body;
};

/// Server side of one HTTP/2 connection with prior knowledge.
class http2_connection {
public:
    using request_handler =
        std::function<void(http2_connection&, http2_request const&)>;
    /// May destroy the connection.
    using closed_handler = std::function<void(http2_connection&)>;

    http2_connection(runtime::unique_fd fd, std::uint32_t max_streams,
        request_handler on_request, closed_handler on_closed);
    http2_connection(http2_connection const&) = delete;
    http2_connection& operator=(http2_connection const&) = delete;
    ~http2_connection();

    void respond(std::int32_t stream, int status, std::string body);
    /// Resets the stream with REFUSED_STREAM.
    void refuse(std::int32_t stream);
    void go_away();
    /// Stops reading and writing for good, but leaves the connection open.
    void make_unresponsive();
    /// Calls `action` after `delay`. If the stream or the connection ends
    /// first, `cancelled` is called instead.
    void defer(std::int32_t stream, duration delay,
        std::function<void()> action, std::function<void()> cancelled);

private:
    friend struct http2_callbacks;

    struct stream_state {
        http2_request request;
        std::string response_body;
        std::size_t sent = 0;
        source_handle timer;
        std::function<void()> cancelled;
    };

    [[nodiscard]] nghttp2_session* session() const {
        return transport_.session();
    }
    void flush();
    void schedule_close();

    int socket_;
    request_handler on_request_;
    closed_handler on_closed_;
    std::map<std::int32_t, stream_state> streams_;
    source_handle close_timer_;
    /// Keeps an unresponsive connection open.
    runtime::unique_fd unresponsive_fd_;
    bool is_reading_ = false; ///< `on_request_` is being called.
    runtime::http2_transport transport_;
};

} // namespace radishspread::standins

#endif
