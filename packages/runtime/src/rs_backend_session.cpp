#include <radishspread/runtime/rs_backend_session.hpp>
#include <radishspread/runtime/rs_trace_text.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace radishspread::runtime {

namespace {

// Together with stream windows of `max_response`, lets every stream receive its
// whole response without waiting a round trip for a window update.
constexpr std::int32_t connection_window = 16 << 20;

constexpr std::size_t max_header_list_size = 16U << 10U;

std::string_view view_of(std::uint8_t const* data, std::size_t size) {
    return {reinterpret_cast<char const*>(data), size};
}

bool ends_stream(nghttp2_frame const& frame) {
    bool const has_flag =
        frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    return has_flag && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

bool is_request(nghttp2_frame const& frame) {
    return frame.hd.type == NGHTTP2_HEADERS &&
           frame.headers.cat == NGHTTP2_HCAT_REQUEST;
}

} // namespace

/// nghttp2 callbacks; `user` is the `backend_session`.
struct backend_callbacks {
    static backend_session& self(void* user) {
        return *static_cast<backend_session*>(user);
    }

    static backend_session::stream* find(void* user, std::int32_t id) {
        auto const it = self(user).streams_.find(id);
        return it == self(user).streams_.end() ? nullptr : &it->second;
    }

    static int header(nghttp2_session*, nghttp2_frame const* frame,
        std::uint8_t const* name, std::size_t name_size,
        std::uint8_t const* value, std::size_t value_size, std::uint8_t,
        void* user) {
        auto* it = find(user, frame->hd.stream_id);
        if (it == nullptr || view_of(name, name_size) != ":status")
            return 0;
        auto const text = view_of(value, value_size);
        std::from_chars(text.data(), text.data() + text.size(), it->status);
        return 0;
    }

    static int data(nghttp2_session* session, std::uint8_t, std::int32_t id,
        std::uint8_t const* data, std::size_t size, void* user) {
        auto* it = find(user, id);
        if (it == nullptr || it->is_too_large)
            return 0;
        if (it->body.size() + size > self(user).options_.max_response) {
            it->is_too_large = true;
            return nghttp2_submit_rst_stream(
                session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        }
        auto const* first = reinterpret_cast<std::byte const*>(data);
        it->body.insert(it->body.end(), first, first + size);
        return 0;
    }

    static int frame(nghttp2_session*, nghttp2_frame const* frame, void* user) {
        if (frame->hd.type == NGHTTP2_SETTINGS &&
            (frame->hd.flags & NGHTTP2_FLAG_ACK) == 0)
            self(user).handle_settings();
        if (frame->hd.type == NGHTTP2_GOAWAY)
            self(user).add_event(backend_event_kind::going_away);
        auto* it = find(user, frame->hd.stream_id);
        if (it != nullptr && ends_stream(*frame))
            it->is_complete = true;
        return 0;
    }

    static int before_send(
        nghttp2_session*, nghttp2_frame const* frame, void* user) {
        auto* it = find(user, frame->hd.stream_id);
        if (it != nullptr && is_request(*frame))
            it->is_sent = true;
        return 0;
    }

    static int not_sent(
        nghttp2_session*, nghttp2_frame const* frame, int, void* user) {
        if (is_request(*frame))
            self(user).end_stream(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
        return 0;
    }

    static int stream_closed(
        nghttp2_session*, std::int32_t id, std::uint32_t error, void* user) {
        self(user).end_stream(id, error);
        return 0;
    }

    static ssize_t read_payload(nghttp2_session*, std::int32_t id,
        std::uint8_t* buf, std::size_t size, std::uint32_t* flags,
        nghttp2_data_source*, void* user) {
        auto* it = find(user, id);
        if (it == nullptr)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        auto const n = std::min(size, it->payload.size() - it->position);
        auto const* const from =
            reinterpret_cast<std::uint8_t const*>(it->payload.data());
        // Not memcpy: it does not allow the null data pointer that an empty
        // payload may have.
        std::copy_n(from + it->position, n, buf);
        it->position += n;
        if (it->position == it->payload.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }
};

backend_session::backend_session(
    backend_session_options options, listener callback)
    : options_(options), callback_(std::move(callback)),
      authority_(to_string(options.target)) {
    std::error_code ec;
    auto fd = start_connect(options_.target, ec);
    if (ec) {
        add_event(backend_event_kind::closed);
        return;
    }
    transport_ = std::make_unique<http2_transport>(
        std::move(fd), true, make_session(),
        [this](std::size_t) {
            // Reported before the events that the received data caused.
            add_event(backend_event_kind::progress);
            std::rotate(events_.begin(), events_.end() - 1, events_.end());
            notify_listener();
        },
        [this](std::error_code) {
            handle_closed();
            notify_listener();
        });
}

backend_session::~backend_session() = default;

http2_session_ptr backend_session::make_session() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    using own = backend_callbacks;
    nghttp2_session_callbacks_set_on_header_callback(callbacks, own::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, own::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, own::frame);
    nghttp2_session_callbacks_set_before_frame_send_callback(
        callbacks, own::before_send);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(
        callbacks, own::not_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, own::stream_closed);
    nghttp2_session* raw = nullptr;
    nghttp2_session_client_new(&raw, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    http2_session_ptr session(raw);
    std::array<nghttp2_settings_entry, 3> const settings{
        {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                static_cast<std::uint32_t>(options_.max_response)},
            {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, max_header_list_size}}};
    nghttp2_submit_settings(
        raw, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(
        raw, NGHTTP2_FLAG_NONE, 0, connection_window);
    return session;
}

void backend_session::dispatch(backend_request const& request) {
    if (transport_ == nullptr || transport_->is_closed() || is_closed_)
        return add_event(backend_event_kind::refused, request.id);
    auto const number = std::to_string(request.request);
    auto const deadline = std::to_string(request.deadline.count());
    auto const size = std::to_string(request.payload.size());
    auto const trace = traceparent(request.trace);
    std::array<nghttp2_nv, 9> const headers{make_header(":method", "POST"),
        make_header(":scheme", "http"), make_header(":path", "/"),
        make_header(":authority", authority_),
        make_header("content-length", size),
        make_header("x-request-id", number),
        make_header("x-deadline-ms", deadline),
        make_header("x-idempotent", request.idempotent ? "1" : "0"),
        make_header("traceparent", trace)};
    nghttp2_data_provider body{};
    body.read_callback = backend_callbacks::read_payload;
    auto const id = nghttp2_submit_request(transport_->session(), nullptr,
        headers.data(), headers.size(), &body, nullptr);
    if (id < 0)
        return add_event(backend_event_kind::refused, request.id);
    auto& it = streams_[id];
    it.id = request.id;
    it.payload.assign(request.payload.begin(), request.payload.end());
    stream_ids_[request.id] = id;
}

void backend_session::cancel(dispatch_id id) {
    auto const it = stream_ids_.find(id);
    if (it != stream_ids_.end())
        nghttp2_submit_rst_stream(transport_->session(), NGHTTP2_FLAG_NONE,
            it->second, NGHTTP2_CANCEL);
}

void backend_session::ping() {
    if (transport_ != nullptr)
        nghttp2_submit_ping(transport_->session(), NGHTTP2_FLAG_NONE, nullptr);
}

void backend_session::flush() {
    if (transport_ != nullptr && !transport_->is_closed() && !is_closed_)
        if (transport_->flush()) {
            transport_->close();
            handle_closed();
        }
    notify_listener();
}

void backend_session::close() {
    is_closed_ = true;
    if (transport_ != nullptr)
        transport_->close();
}

void backend_session::add_event(backend_event_kind kind, dispatch_id id) {
    auto& event = events_.emplace_back().event;
    event.kind = kind;
    event.connection = options_.connection;
    event.id = id;
}

void backend_session::add_response_event(stream& it) {
    add_event(backend_event_kind::responded, it.id);
    events_.back().event.status = it.status;
    events_.back().body = std::move(it.body);
}

void backend_session::end_stream(std::int32_t stream_id, std::uint32_t error) {
    auto const found = streams_.find(stream_id);
    if (found == streams_.end())
        return;
    auto it = std::move(found->second);
    streams_.erase(found);
    stream_ids_.erase(it.id);
    // A response that has begun proves that the request ran, whatever error
    // code the stream ends with.
    bool const may_have_run =
        it.is_sent && (error != NGHTTP2_REFUSED_STREAM || it.status != 0);
    if (it.is_complete && error == NGHTTP2_NO_ERROR && !it.is_too_large)
        add_response_event(it);
    else
        add_event(may_have_run ? backend_event_kind::lost
                               : backend_event_kind::refused,
            it.id);
}

void backend_session::handle_settings() {
    auto const limit = nghttp2_session_get_remote_settings(
        transport_->session(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
    add_event(has_settings_ ? backend_event_kind::limit
                            : backend_event_kind::connected);
    events_.back().event.max_streams = limit;
    has_settings_ = true;
}

void backend_session::handle_closed() {
    while (!streams_.empty())
        end_stream(streams_.begin()->first, NGHTTP2_INTERNAL_ERROR);
    add_event(backend_event_kind::closed);
}

void backend_session::notify_listener() {
    if (is_notifying_)
        return;
    is_notifying_ = true;
    while (!events_.empty() && !is_closed_) {
        auto const batch = std::exchange(events_, {});
        for (auto const& it : batch) {
            if (is_closed_)
                break;
            auto event = it.event;
            event.body = it.body;
            is_closed_ = event.kind == backend_event_kind::closed;
            callback_(event);
        }
    }
    is_notifying_ = false;
}

} // namespace radishspread::runtime
