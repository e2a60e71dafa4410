#ifndef RADISHSPREAD_RUNTIME_TESTS_RS_HTTP2_TEST_SERVER_HPP
#define RADISHSPREAD_RUNTIME_TESTS_RS_HTTP2_TEST_SERVER_HPP

#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_http2_transport.hpp>
#include <radishspread/runtime/rs_loop.hpp>
#include <radishspread/runtime/rs_step_error.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishspread::runtime::test {

/// Iterates the main context until `done` returns true, for at most 5 s.
/// Returns whether it did.
inline bool run_until(std::function<bool()> const& done) {
    auto const deadline = monotonic_now() + std::chrono::seconds(5);
    auto* timer = g_timeout_source_new(5);
    g_source_set_callback(
        timer, [](gpointer) -> gboolean { return TRUE; }, nullptr, nullptr);
    g_source_attach(timer, nullptr);
    while (!done() && monotonic_now() < deadline)
        loop::iterate();
    g_source_destroy(timer);
    g_source_unref(timer);
    return done();
}

/// HTTP/2 server for one connection; the test supplies its responses.
class http2_test_server {
public:
    /// Called with the stream id of each complete request; respond through
    /// `respond` or `session`.
    std::function<void(std::int32_t)> on_request = [](std::int32_t) {
    };
    std::uint32_t max_streams = 100;
    std::vector<std::int32_t> requests;

    http2_test_server()
        : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        if (bind(listener_.get(), generic, size) != 0 ||
            listen(listener_.get(), 1) != 0)
            throw std::system_error(last_system_error());
        getsockname(listener_.get(), generic, &size);
        local_endpoint_ = {
            .address = INADDR_LOOPBACK, .port = ntohs(address.sin_port)};
        watch_ = fd_watch(
            listener_.get(), G_IO_IN, [this](GIOCondition) { accept_one(); });
    }

    [[nodiscard]] endpoint local_endpoint() const { return local_endpoint_; }
    [[nodiscard]] nghttp2_session* session() { return transport_->session(); }

    void flush() {
        if (transport_ != nullptr && !transport_->is_closed())
            static_cast<void>(transport_->flush());
    }

    void close() { transport_->close(); }

    void respond(std::int32_t stream, std::string body) {
        body_ = std::move(body);
        auto const status = make_header(":status", "200");
        nghttp2_data_provider data{};
        data.source.ptr = this;
        data.read_callback = read_body;
        nghttp2_submit_response(session(), stream, &status, 1, &data);
    }

private:
    static ssize_t read_body(nghttp2_session*, std::int32_t, std::uint8_t* buf,
        std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
        void*) {
        auto& body = static_cast<http2_test_server*>(source->ptr)->body_;
        auto const n = body.copy(reinterpret_cast<char*>(buf), size);
        body.erase(0, n);
        if (body.empty())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }

    static int frame(nghttp2_session*, nghttp2_frame const* it, void* user) {
        auto& self = *static_cast<http2_test_server*>(user);
        bool const is_end = (it->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (it->hd.stream_id == 0 || !is_end)
            return 0;
        self.requests.push_back(it->hd.stream_id);
        self.on_request(it->hd.stream_id);
        return 0;
    }

    void accept_one() {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frame);
        nghttp2_session* raw = nullptr;
        nghttp2_session_server_new(&raw, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_settings_entry const entry{
            NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams};
        nghttp2_submit_settings(raw, NGHTTP2_FLAG_NONE, &entry, 1);
        unique_fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK));
        transport_ = std::make_unique<http2_transport>(
            std::move(fd), false, http2_session_ptr(raw), [](std::size_t) {},
            [](std::error_code) {});
    }

    unique_fd listener_;
    endpoint local_endpoint_;
    fd_watch watch_;
    std::unique_ptr<http2_transport> transport_;
    std::string body_;
};

} // namespace radishspread::runtime::test

#endif
