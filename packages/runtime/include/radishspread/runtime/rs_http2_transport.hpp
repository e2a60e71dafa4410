#ifndef RADISHSPREAD_RUNTIME_RS_HTTP2_TRANSPORT_HPP
#define RADISHSPREAD_RUNTIME_RS_HTTP2_TRANSPORT_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_fd_watch.hpp>
#include <radishspread/runtime/rs_unique_fd.hpp>

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>
#include <vector>

namespace radishspread::runtime {

/// Deleter for nghttp2 sessions.
struct http2_session_deleter {
    void operator()(nghttp2_session* it) const { nghttp2_session_del(it); }
};
using http2_session_ptr =
    std::unique_ptr<nghttp2_session, http2_session_deleter>;

/// Transports an nghttp2 session over a non-blocking TCP connection.
///
/// `after_read` runs after received bytes were passed to the session.
/// `on_closed` runs once if the connection ends for a reason other than
/// `close` or an error that `flush` returns. Either may destroy the transport.
class http2_transport {
public:
    using read_callback = std::function<void(std::size_t bytes)>;
    using closed_callback = std::function<void(std::error_code)>;

    http2_transport(unique_fd fd, bool is_connecting, http2_session_ptr session,
        read_callback after_read, closed_callback on_closed);

    [[nodiscard]] nghttp2_session* session() const { return session_.get(); }

    /// Writes the session's pending output until the socket would block.
    /// Returns an error if the connection has failed or ended; `on_closed` is
    /// not called then.
    [[nodiscard]] std::error_code flush();

    /// True while output waits for space in the socket's send buffer.
    [[nodiscard]] bool is_blocked() const { return !pending_.empty(); }

    /// Closes the connection; `on_closed` is not called.
    void close();
    [[nodiscard]] bool is_closed() const { return !fd_; }

private:
    void handle_ready(GIOCondition ready);
    [[nodiscard]] std::error_code finish_connect();
    void read();
    [[nodiscard]] std::error_code write_pending();
    [[nodiscard]] std::error_code fill_pending();
    void close_and_notify(std::error_code ec);

    unique_fd fd_;
    bool is_connecting_;
    http2_session_ptr session_;
    read_callback after_read_;
    closed_callback on_closed_;
    std::vector<std::uint8_t> pending_;
    fd_watch watch_;
};

/// Starts a non-blocking TCP connect to `to`; it may still be in progress on
/// return.
[[nodiscard]] unique_fd start_connect(endpoint to, std::error_code& ec);

/// Makes a header field for nghttp2. It refers to the memory of `name` and
/// `value`, which must remain valid until the nghttp2 call that copies it.
[[nodiscard]] nghttp2_nv make_header(
    std::string_view name, std::string_view value);

} // namespace radishspread::runtime

#endif
