#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_peer_connection.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>

#include <array>
#include <charconv>

namespace radishspread::runtime {

namespace {

// A whole section fits, so the peer never waits for the window.
constexpr std::int32_t window = 2 << 20;

constexpr std::size_t largest_header_list = 4096;

std::string_view view_of(std::uint8_t const* data, std::size_t size) {
    return {reinterpret_cast<char const*>(data), size};
}

template <class Number> void read_number(std::string_view text, Number& out) {
    std::from_chars(text.data(), text.data() + text.size(), out);
}

} // namespace

/// Callbacks of the library; `user` is the connection.
struct peer_client_callbacks {
    static peer_connection::stream* find(void* user, std::int32_t id) {
        auto& streams = static_cast<peer_connection*>(user)->streams_;
        auto const it = streams.find(id);
        return it == streams.end() ? nullptr : &it->second;
    }

    static int header(nghttp2_session*, nghttp2_frame const* frame,
        std::uint8_t const* name_data, std::size_t name_size,
        std::uint8_t const* value_data, std::size_t value_size, std::uint8_t,
        void* user) {
        auto* it = find(user, frame->hd.stream_id);
        if (it == nullptr)
            return 0;
        auto const name = view_of(name_data, name_size);
        auto const value = view_of(value_data, value_size);
        if (name == ":status")
            read_number(value, it->response.status);
        else if (name == "x-revision")
            read_number(value, it->response.held);
        else if (name == "x-tag")
            it->response.tag = value;
        return 0;
    }

    static int data(nghttp2_session*, std::uint8_t, std::int32_t id,
        std::uint8_t const* data, std::size_t size, void* user) {
        auto* it = find(user, id);
        if (it == nullptr)
            return 0;
        // Ends the session: no honest peer sends more.
        if (it->response.body.size() + size > max_section_size)
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        it->response.body.append(view_of(data, size));
        return 0;
    }

    static int frame(nghttp2_session*, nghttp2_frame const* frame, void* user) {
        auto* it = find(user, frame->hd.stream_id);
        if (it != nullptr && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
            (frame->hd.type == NGHTTP2_HEADERS ||
                frame->hd.type == NGHTTP2_DATA))
            it->is_complete = true;
        return 0;
    }

    static int stream_closed(
        nghttp2_session*, std::int32_t id, std::uint32_t error, void* user) {
        static_cast<peer_connection*>(user)->end_stream(id, error);
        return 0;
    }
};

peer_connection::peer_connection(
    endpoint peer, progress_options options, instant now)
    : peer_(peer), authority_(to_string(peer)), guard_(options, now) {
    std::error_code ec;
    auto fd = start_connect(peer_, ec);
    if (ec) {
        is_closed_ = true;
        return;
    }
    transport_ = std::make_unique<http2_transport>(
        std::move(fd), true, make_session(),
        [this](std::size_t) { handle_read(); },
        [this](std::error_code code) {
            fail(code);
            pass_on();
        });
}

peer_connection::~peer_connection() = default;

http2_session_ptr peer_connection::make_session() {
    nghttp2_session_callbacks* calls = nullptr;
    nghttp2_session_callbacks_new(&calls);
    using own = peer_client_callbacks;
    nghttp2_session_callbacks_set_on_header_callback(calls, own::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls, own::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(calls, own::frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        calls, own::stream_closed);
    nghttp2_session* raw = nullptr;
    nghttp2_session_client_new(&raw, calls, this);
    nghttp2_session_callbacks_del(calls);
    http2_session_ptr session(raw);
    std::array<nghttp2_settings_entry, 3> const settings{
        {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window},
            {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, largest_header_list}}};
    nghttp2_submit_settings(
        raw, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(raw, NGHTTP2_FLAG_NONE, 0, window);
    return session;
}

void peer_connection::get(
    instant now, std::string const& path, response_callback call) {
    std::array<nghttp2_nv, 4> const headers{make_header(":method", "GET"),
        make_header(":scheme", "http"), make_header(":path", path),
        make_header(":authority", authority_)};
    std::int32_t const id =
        is_closed_ ? -1
                   : nghttp2_submit_request(transport_->session(), nullptr,
                         headers.data(), headers.size(), nullptr, nullptr);
    if (id < 0) {
        finished_.push_back({.response = {}, .call = std::move(call)});
        finished_.back().response.code =
            std::make_error_code(std::errc::not_connected);
        return;
    }
    streams_[id].call = std::move(call);
    guard_.set_busy(now, true);
}

void peer_connection::tick(instant now) {
    guard_.set_busy(now, !streams_.empty());
    auto const action = guard_.check(now);
    if (action == progress_action::ping)
        nghttp2_submit_ping(transport_->session(), NGHTTP2_FLAG_NONE, nullptr);
    if (action == progress_action::drop)
        fail(std::make_error_code(std::errc::timed_out));
}

void peer_connection::flush() {
    if (!is_closed_)
        if (auto const ec = transport_->flush())
            fail(ec);
    pass_on();
}

void peer_connection::fail(std::error_code ec) {
    is_closed_ = true;
    if (transport_ != nullptr)
        transport_->close();
    for (auto& [id, it] : streams_) {
        it.response.code = ec;
        finished_.push_back({std::move(it.response), std::move(it.call)});
    }
    streams_.clear();
}

void peer_connection::abandon() {
    is_closed_ = true;
    if (transport_ != nullptr)
        transport_->close();
    streams_.clear();
    finished_.clear();
    is_abandoned_ = true;
}

void peer_connection::end_stream(std::int32_t stream_id, std::uint32_t error) {
    auto const found = streams_.find(stream_id);
    if (found == streams_.end())
        return;
    auto it = std::move(found->second);
    streams_.erase(found);
    if (error != NGHTTP2_NO_ERROR || !it.is_complete)
        it.response.code = std::make_error_code(std::errc::connection_aborted);
    finished_.push_back({std::move(it.response), std::move(it.call)});
}

void peer_connection::handle_read() {
    auto const now = monotonic_now();
    guard_.bytes_received(now);
    guard_.set_busy(now, !streams_.empty());
    pass_on();
}

void peer_connection::pass_on() {
    auto const batch = std::exchange(finished_, {});
    for (auto const& it : batch)
        if (!is_abandoned_)
            it.call(it.response);
}

} // namespace radishspread::runtime
