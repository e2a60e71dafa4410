#include <radishspread/runtime/rs_http2_transport.hpp>
#include <radishspread/runtime/rs_step_error.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <string_view>

namespace radishspread::runtime {

namespace {

// Output taken from the session before the socket accepts it. The limit bounds
// the memory that a slowly reading peer can occupy.
constexpr std::size_t max_pending_bytes = 64U << 10U;

constexpr std::size_t read_size = 64U << 10U;

// Consecutive reads from one socket before other event sources are served.
constexpr int max_reads = 16;

bool would_block(ssize_t n) {
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

http2_transport::http2_transport(unique_fd fd, bool is_connecting,
    http2_session_ptr session, read_callback after_read,
    closed_callback on_closed)
    : fd_(std::move(fd)), is_connecting_(is_connecting),
      session_(std::move(session)), after_read_(std::move(after_read)),
      on_closed_(std::move(on_closed)),
      watch_(fd_.get(), is_connecting ? G_IO_OUT : G_IO_IN,
          [this](GIOCondition ready) { handle_ready(ready); }) {
    int const on = 1;
    setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::error_code http2_transport::flush() {
    if (!fd_ || is_connecting_)
        return {};
    for (;;) {
        if (auto const ec = write_pending())
            return ec;
        if (!pending_.empty())
            break;
        if (auto const ec = fill_pending())
            return ec;
        if (pending_.empty())
            break;
    }
    bool const has_ended = nghttp2_session_want_read(session_.get()) == 0 &&
                           nghttp2_session_want_write(session_.get()) == 0;
    if (has_ended && pending_.empty())
        return std::make_error_code(std::errc::connection_aborted);
    watch_.set(pending_.empty() ? G_IO_IN : GIOCondition(G_IO_IN | G_IO_OUT));
    return {};
}

std::error_code http2_transport::fill_pending() {
    while (pending_.size() < max_pending_bytes) {
        std::uint8_t const* data = nullptr;
        auto const n = nghttp2_session_mem_send(session_.get(), &data);
        if (n < 0)
            return std::make_error_code(std::errc::protocol_error);
        if (n == 0)
            break;
        pending_.insert(pending_.end(), data, data + n);
    }
    return {};
}

std::error_code http2_transport::write_pending() {
    std::size_t done = 0;
    while (done < pending_.size()) {
        auto const n = send(fd_.get(), pending_.data() + done,
            pending_.size() - done, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (would_block(n))
            break;
        if (n < 0)
            return last_system_error();
        done += static_cast<std::size_t>(n);
    }
    pending_.erase(
        pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(done));
    return {};
}

void http2_transport::close() {
    watch_.reset();
    fd_.reset();
}

void http2_transport::close_and_notify(std::error_code ec) {
    close();
    // Copied because the callback may destroy this object and `on_closed_`
    // with it.
    auto const callback = on_closed_;
    callback(ec);
}

void http2_transport::handle_ready(GIOCondition ready) {
    if (is_connecting_) {
        if (auto const ec = finish_connect())
            return close_and_notify(ec);
    }
    if ((ready & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0)
        return read();
    if (auto const ec = flush())
        close_and_notify(ec);
}

std::error_code http2_transport::finish_connect() {
    int connect_error = 0;
    socklen_t size = sizeof connect_error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &connect_error, &size);
    if (connect_error != 0)
        return {connect_error, std::system_category()};
    is_connecting_ = false;
    watch_.set(G_IO_IN);
    return {};
}

void http2_transport::read() {
    static std::array<std::uint8_t, read_size> buf;
    std::size_t total = 0;
    std::error_code ec;
    for (int n = 0; n < max_reads && !ec; ++n) {
        auto const got = recv(fd_.get(), buf.data(), buf.size(), 0);
        if (would_block(got))
            break;
        if (got < 0 && errno == EINTR)
            continue;
        if (got <= 0) {
            ec = got == 0 ? std::make_error_code(std::errc::connection_reset)
                          : last_system_error();
            break;
        }
        auto const size = static_cast<std::size_t>(got);
        total += size;
        if (nghttp2_session_mem_recv(session_.get(), buf.data(), size) < 0)
            ec = std::make_error_code(std::errc::protocol_error);
    }
    if (ec)
        return close_and_notify(ec);
    if (total > 0) {
        // Copied because the callback may destroy this object.
        auto const callback = after_read_;
        callback(total);
    }
}

unique_fd start_connect(endpoint to, std::error_code& ec) {
    unique_fd fd(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(to.address);
    address.sin_port = htons(to.port);
    int const n = connect(
        fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (n != 0 && errno != EINPROGRESS) {
        ec = last_system_error();
        return {};
    }
    return fd;
}

nghttp2_nv make_header(std::string_view name, std::string_view value) {
    auto const bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
        NGHTTP2_NV_FLAG_NONE};
}

} // namespace radishspread::runtime
