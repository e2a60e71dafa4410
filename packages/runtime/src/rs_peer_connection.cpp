#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_peer_connection.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>

#include <array>
#include <charconv>

namespace radishspread::runtime {

namespace {

// Larger than any section, so the peer never waits for a window update.
constexpr std::int32_t receive_window = 2 << 20;

constexpr std::size_t max_header_list_size = 4096;

std::string_view view_of(std::uint8_t const* data, std::size_t size) {
    return {reinterpret_cast<char const*>(data), size};
}

template <class Number> void read_number(std::string_view text, Number& out) {
    std::from_chars(text.data(), text.data() + text.size(), out);
}

} // namespace

/// nghttp2 callbacks; `user` is the `peer_connection`.
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
        // Closes the connection: no section is larger, so the peer is faulty.
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
    endpoint peer, watchdog_options options, instant now)
    : peer_(peer), authority_(to_string(peer)), watchdog_(options, now) {
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
            run_callbacks();
        });
}

peer_connection::~peer_connection() = default;

http2_session_ptr peer_connection::make_session() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    using own = peer_client_callbacks;
    nghttp2_session_callbacks_set_on_header_callback(callbacks, own::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, own::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, own::frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, own::stream_closed);
    nghttp2_session* raw = nullptr;
    nghttp2_session_client_new(&raw, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    http2_session_ptr session(raw);
    std::array<nghttp2_settings_entry, 3> const settings{
        {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, receive_window},
            {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, max_header_list_size}}};
    nghttp2_submit_settings(
        raw, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(
        raw, NGHTTP2_FLAG_NONE, 0, receive_window);
    return session;
}

void peer_connection::get(
    instant now, std::string const& path, response_callback callback) {
    std::array<nghttp2_nv, 4> const headers{make_header(":method", "GET"),
        make_header(":scheme", "http"), make_header(":path", path),
        make_header(":authority", authority_)};
    std::int32_t const id =
        is_closed_ ? -1
                   : nghttp2_submit_request(transport_->session(), nullptr,
                         headers.data(), headers.size(), nullptr, nullptr);
    if (id < 0) {
        finished_requests_.push_back(
            {.response = {}, .callback = std::move(callback)});
        finished_requests_.back().response.code =
            std::make_error_code(std::errc::not_connected);
        return;
    }
    streams_[id].callback = std::move(callback);
    watchdog_.set_busy(now, true);
}

void peer_connection::tick(instant now) {
    watchdog_.set_busy(now, !streams_.empty());
    auto const action = watchdog_.check(now);
    if (action == watchdog_action::ping)
        nghttp2_submit_ping(transport_->session(), NGHTTP2_FLAG_NONE, nullptr);
    if (action == watchdog_action::drop)
        fail(std::make_error_code(std::errc::timed_out));
}

void peer_connection::flush() {
    if (!is_closed_)
        if (auto const ec = transport_->flush())
            fail(ec);
    run_callbacks();
}

void peer_connection::fail(std::error_code ec) {
    is_closed_ = true;
    if (transport_ != nullptr)
        transport_->close();
    for (auto& [id, it] : streams_) {
        it.response.code = ec;
        finished_requests_.push_back(
            {std::move(it.response), std::move(it.callback)});
    }
    streams_.clear();
}

void peer_connection::abandon() {
    is_closed_ = true;
    if (transport_ != nullptr)
        transport_->close();
    streams_.clear();
    finished_requests_.clear();
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
    finished_requests_.push_back(
        {std::move(it.response), std::move(it.callback)});
}

void peer_connection::handle_read() {
    auto const now = monotonic_now();
    watchdog_.bytes_received(now);
    watchdog_.set_busy(now, !streams_.empty());
    run_callbacks();
}

void peer_connection::run_callbacks() {
    auto const batch = std::exchange(finished_requests_, {});
    for (auto const& it : batch)
        if (!is_abandoned_)
            it.callback(it.response);
}

} // namespace radishspread::runtime
