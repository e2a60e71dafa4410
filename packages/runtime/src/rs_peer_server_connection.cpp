#include <radishspread/runtime/internal/rs_peer_server_connection.hpp>
#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>

#include <glib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace radishspread::runtime {

namespace {

constexpr std::string_view section_prefix = "/v1/sections/";
constexpr std::string_view index_path = "/v1/index";

std::string_view view_of(std::uint8_t const* data, std::size_t size) {
    return {reinterpret_cast<char const*>(data), size};
}

std::string unescape(std::string_view text) {
    char* raw =
        g_uri_unescape_segment(text.data(), text.data() + text.size(), nullptr);
    std::string out = raw != nullptr ? raw : "";
    g_free(raw);
    return out;
}

} // namespace

/// nghttp2 callbacks; `user` is the `peer_server_connection`.
struct peer_server_callbacks {
    static peer_server_connection& self(void* user) {
        return *static_cast<peer_server_connection*>(user);
    }

    static int begin(nghttp2_session*, nghttp2_frame const* frame, void* user) {
        self(user).streams_[frame->hd.stream_id] = {};
        return 0;
    }

    static int header(nghttp2_session*, nghttp2_frame const* frame,
        std::uint8_t const* name_data, std::size_t name_size,
        std::uint8_t const* value_data, std::size_t value_size, std::uint8_t,
        void* user) {
        auto const found = self(user).streams_.find(frame->hd.stream_id);
        if (found == self(user).streams_.end())
            return 0;
        auto& it = found->second;
        it.header_size += name_size + value_size;
        if (it.header_size > self(user).options_.max_header_size)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        auto const name = view_of(name_data, name_size);
        if (name == ":method")
            it.method = view_of(value_data, value_size);
        else if (name == ":path")
            it.path = view_of(value_data, value_size);
        return 0;
    }

    static int frame(
        nghttp2_session* session, nghttp2_frame const* frame, void* user) {
        if (frame->hd.type != NGHTTP2_HEADERS)
            return 0;
        if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            // Only GET is served, and its requests have no body.
            return nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE,
                frame->hd.stream_id, NGHTTP2_PROTOCOL_ERROR);
        self(user).respond(frame->hd.stream_id);
        return 0;
    }

    static int stream_closed(
        nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
        self(user).streams_.erase(id);
        return 0;
    }

    static ssize_t read_body(nghttp2_session*, std::int32_t, std::uint8_t* buf,
        std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
        void*) {
        auto& it = *static_cast<peer_server_connection::stream*>(source->ptr);
        auto const n = std::min(size, it.body.size() - it.position);
        auto const* const from =
            reinterpret_cast<std::uint8_t const*>(it.body.data());
        // Not memcpy: it does not allow the null data pointer that an empty
        // body may have.
        std::copy_n(from + it.position, n, buf);
        it.position += n;
        if (it.position == it.body.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }
};

peer_server_connection::peer_server_connection(unique_fd fd, endpoint peer,
    peer_server_options const& options, peer_server_source const& source,
    instant now)
    : peer_(peer), options_(options), source_(source),
      watchdog_(options.watchdog, now) {
    transport_ = std::make_unique<http2_transport>(
        std::move(fd), false, make_session(),
        [this](std::size_t) {
            watchdog_.bytes_received(monotonic_now());
            watchdog_.set_busy(monotonic_now(), !streams_.empty());
        },
        [this](std::error_code) { is_closed_ = true; });
}

http2_session_ptr peer_server_connection::make_session() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    using own = peer_server_callbacks;
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        callbacks, own::begin);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, own::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, own::frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, own::stream_closed);
    nghttp2_session* raw = nullptr;
    nghttp2_session_server_new(&raw, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    http2_session_ptr session(raw);
    std::array<nghttp2_settings_entry, 2> const settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options_.max_streams},
            {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
                static_cast<std::uint32_t>(options_.max_header_size)}}};
    nghttp2_submit_settings(
        raw, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    return session;
}

std::string_view peer_server_connection::check(instant now) {
    watchdog_.set_busy(now, !streams_.empty());
    auto const action = watchdog_.check(now);
    if (action == watchdog_action::ping)
        nghttp2_submit_ping(transport_->session(), NGHTTP2_FLAG_NONE, nullptr);
    if (action != watchdog_action::drop)
        return {};
    is_closed_ = true;
    if (!streams_.empty())
        return "no progress";
    return has_served_ ? "" : "idle";
}

void peer_server_connection::flush() {
    if (!is_closed_ && transport_->flush())
        is_closed_ = true;
}

void peer_server_connection::respond(std::int32_t stream_id) {
    has_served_ = true;
    auto& it = streams_[stream_id];
    auto const result = make_response(it);
    auto const size = std::to_string(it.body.size());
    auto const held = std::to_string(result.held);
    std::array<nghttp2_nv, 4> const headers{
        make_header(":status", result.status),
        make_header("content-length", size), make_header("x-revision", held),
        make_header("x-tag", result.tag)};
    nghttp2_data_provider body{};
    body.source.ptr = &it;
    body.read_callback = peer_server_callbacks::read_body;
    nghttp2_submit_response(transport_->session(), stream_id, headers.data(),
        headers.size(), &body);
}

peer_server_connection::response peer_server_connection::make_response(
    stream& it) const {
    response out;
    if (it.method != "GET")
        out.status = "405";
    else if (it.path == index_path)
        fill_index(it, out);
    else if (it.path.starts_with(section_prefix))
        fill_section(it, unescape(it.path.substr(section_prefix.size())), out);
    return out;
}

void peer_server_connection::fill_section(
    stream& it, std::string const& name, response& out) const {
    it.served_section = source_.find(name);
    if (it.served_section == nullptr)
        return;
    it.body = it.served_section->text;
    out.status = "200";
    out.held = it.served_section->held;
    out.tag = section_tag(options_.key, name, out.held, it.body);
}

void peer_server_connection::fill_index(stream& it, response& out) const {
    auto list = nlohmann::json::array();
    for (auto const& entry : source_.index())
        list.push_back({{"name", entry.name}, {"revision", entry.held}});
    it.generated_body = nlohmann::json{{"sections", std::move(list)}}.dump();
    it.body = it.generated_body;
    out.status = "200";
    out.tag = section_tag(options_.key, {}, 0, it.body);
}

} // namespace radishspread::runtime
