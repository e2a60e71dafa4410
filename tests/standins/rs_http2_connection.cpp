#include <standins/rs_http2_connection.hpp>

#include <algorithm>
#include <unistd.h>

#include <array>
#include <memory>
#include <string_view>
#include <utility>

namespace radishspread::standins {

/// Callbacks of nghttp2; `user` points to the connection.
struct http2_callbacks {
    static http2_connection& self(void* user) {
        return *static_cast<http2_connection*>(user);
    }

    static int on_begin_headers(
        nghttp2_session* /*session*/, nghttp2_frame const* frame, void* user) {
        auto const id = frame->hd.stream_id;
        self(user).streams_[id].request.stream = id;
        return 0;
    }

    static int on_header(nghttp2_session* /*session*/,
        nghttp2_frame const* frame, std::uint8_t const* name,
        std::size_t name_length, std::uint8_t const* value,
        std::size_t value_length, std::uint8_t /*flags*/, void* user) {
        auto& request = self(user).streams_[frame->hd.stream_id].request;
        std::string_view const key(
            reinterpret_cast<char const*>(name), name_length);
        std::string const text(
            reinterpret_cast<char const*>(value), value_length);
        if (key == ":method")
            request.method = text;
        else if (key == ":path")
            request.path = text;
        else if (key == "x-deadline-ms")
            request.deadline_ms = text;
        return 0;
    }

    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
        std::int32_t stream, std::uint8_t const* data, std::size_t length,
        void* user) {
        self(user).streams_[stream].request.body.append(
            reinterpret_cast<char const*>(data), length);
        return 0;
    }

    static int on_frame(
        nghttp2_session* /*session*/, nghttp2_frame const* frame, void* user) {
        auto const type = frame->hd.type;
        bool const ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (ends && (type == NGHTTP2_HEADERS || type == NGHTTP2_DATA)) {
            auto& it = self(user);
            auto const request = it.streams_[frame->hd.stream_id].request;
            it.is_reading_ = true;
            it.on_request_(it, request);
            it.is_reading_ = false;
        }
        return 0;
    }

    static int on_close(nghttp2_session* /*session*/, std::int32_t stream,
        std::uint32_t /*error*/, void* user) {
        auto const node = self(user).streams_.extract(stream);
        if (!node.empty() && node.mapped().cancelled)
            node.mapped().cancelled();
        return 0;
    }

    static ssize_t on_read(nghttp2_session* /*session*/, std::int32_t stream,
        std::uint8_t* buf, std::size_t length, std::uint32_t* flags,
        nghttp2_data_source* /*source*/, void* user) {
        auto& state = self(user).streams_[stream];
        auto const n =
            std::min(length, state.response_body.size() - state.sent);
        std::copy_n(state.response_body.data() + state.sent, n, buf);
        state.sent += n;
        if (state.sent == state.response_body.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }

    static runtime::http2_session_ptr make_session(
        http2_connection& connection) {
        nghttp2_session_callbacks* raw = nullptr;
        nghttp2_session_callbacks_new(&raw);
        std::unique_ptr<nghttp2_session_callbacks,
            void (*)(nghttp2_session_callbacks*)> const owned(raw,
            nghttp2_session_callbacks_del);
        nghttp2_session_callbacks_set_on_begin_headers_callback(
            raw, on_begin_headers);
        nghttp2_session_callbacks_set_on_header_callback(raw, on_header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw, on_data);
        nghttp2_session_callbacks_set_on_frame_recv_callback(raw, on_frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(raw, on_close);
        nghttp2_session* session = nullptr;
        nghttp2_session_server_new(&session, raw, &connection);
        return runtime::http2_session_ptr(session);
    }
};

http2_connection::http2_connection(runtime::unique_fd fd,
    std::uint32_t max_streams, request_handler on_request,
    closed_handler on_closed)
    : socket_(fd.get()), on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      transport_(
          std::move(fd), false, http2_callbacks::make_session(*this),
          [this](std::size_t) { flush(); },
          [this](std::error_code) { schedule_close(); }) {
    std::array<nghttp2_settings_entry, 1> const settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams}}};
    nghttp2_submit_settings(
        session(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    flush();
}

http2_connection::~http2_connection() {
    for (auto& [id, stream] : streams_) {
        if (stream.cancelled)
            stream.cancelled();
    }
}

void http2_connection::flush() {
    // nghttp2 does not allow sending from within its receive callbacks.
    if (!is_reading_ && transport_.flush())
        schedule_close();
}

// The handler may destroy the connection, which callers of flush() still use.
// It is therefore called from the event loop.
void http2_connection::schedule_close() {
    close_timer_ = call_after(duration(0), [this] {
        auto const closed = on_closed_;
        closed(*this);
    });
}

void http2_connection::respond(
    std::int32_t stream, int status, std::string body) {
    auto& state = streams_[stream];
    state.cancelled = nullptr;
    state.response_body = std::move(body);
    auto const value = std::to_string(status);
    auto const header = runtime::make_header(":status", value);
    nghttp2_data_provider const provider{{}, http2_callbacks::on_read};
    nghttp2_submit_response(session(), stream, &header, 1, &provider);
    flush();
}

void http2_connection::refuse(std::int32_t stream) {
    nghttp2_submit_rst_stream(
        session(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_REFUSED_STREAM);
    flush();
}

void http2_connection::go_away() {
    nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
        nghttp2_session_get_last_proc_stream_id(session()), NGHTTP2_NO_ERROR,
        nullptr, 0);
    flush();
}

void http2_connection::make_unresponsive() {
    // The duplicate descriptor keeps the TCP connection open.
    unresponsive_fd_ = runtime::unique_fd(dup(socket_));
    transport_.close();
}

void http2_connection::defer(std::int32_t stream, duration delay,
    std::function<void()> action, std::function<void()> cancelled) {
    auto& state = streams_[stream];
    state.cancelled = std::move(cancelled);
    state.timer = call_after(delay, std::move(action));
}

} // namespace radishspread::standins
