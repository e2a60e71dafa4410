#include <standins/rs_backend_server.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace radishspread::standins {

namespace {

/// Larger than any number of slots, so that the agent's admission is the only
/// limit on concurrent requests.
constexpr std::uint32_t max_streams = 100;
/// Factor by which a cold server is slower than a warm one.
constexpr int cold_slowdown = 3;

duration deadline_of(http2_request const& request) {
    std::int64_t value = 0;
    auto const& text = request.deadline_ms;
    auto const end = text.data() + text.size();
    if (std::from_chars(text.data(), end, value).ec != std::errc{})
        return std::chrono::hours(1);
    return std::chrono::milliseconds(value);
}

} // namespace

backend_server::backend_server(
    backend_server_options options, run_history& history)
    : options_(std::move(options)), history_(history),
      listener_(listen_tcp(options_.address)),
      watch_(listener_.get(), G_IO_IN, [this](GIOCondition) { accept(); }) {}

void backend_server::accept() {
    unique_fd fd(accept4(
        listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.get() < 0)
        return;
    auto const on_closed = [this](http2_connection const& it) {
        connections_.remove_if([&](auto const& own) { return &own == &it; });
    };
    connections_.emplace_back(
        std::move(fd), max_streams,
        [this](auto& it, auto const& request) { serve(it, request); },
        on_closed);
}

void backend_server::serve(
    http2_connection& connection, http2_request const& request) {
    auto const text = parse_request(request.body);
    if (request.method == "GET")
        connection.respond(
            request.stream, 200, request.path == "/load" ? "0.0" : "ok");
    else if (!text)
        connection.respond(request.stream, 400, "");
    else if (shedding_ == shedding::refused_stream)
        connection.refuse(request.stream);
    else
        run(connection, request, *text);
}

void backend_server::run(http2_connection& connection,
    http2_request const& request, request_text const& text) {
    history_.record(
        {text.identity, options_.id, options_.domain, monotonic_now()}, text,
        options_.service);
    if (shedding_ == shedding::status_503) {
        connection.respond(request.stream, 503, "");
        return;
    }
    if (running_ >= capacity()) {
        history_.record_overload();
        connection.respond(request.stream, 503, "");
        return;
    }
    duration const work = std::chrono::milliseconds(
        text.work_ms * (is_cold_ ? cold_slowdown : 1));
    auto const limit = deadline_of(request);
    ++running_;
    connection.defer(
        request.stream, std::min(work, limit),
        [this, &connection, stream = request.stream, text,
            in_time = work <= limit] {
            finish(connection, stream, text, in_time);
        },
        [this] {
            --running_;
            ++cancelled_;
        });
}

void backend_server::finish(http2_connection& connection, std::int32_t stream,
    request_text const& text, bool in_time) {
    --running_;
    if (is_cold_ && ++responses_since_increase_ >= 3 * cold_limit_) {
        responses_since_increase_ = 0;
        is_cold_ = ++cold_limit_ < options_.slots;
    }
    if (in_time)
        connection.respond(stream, 200, make_answer(text));
    else
        connection.respond(stream, 504, "");
}

std::size_t backend_server::capacity() const {
    return is_cold_ ? cold_limit_ : options_.slots;
}

void backend_server::set_cold() {
    cold_limit_ = std::max<std::size_t>(1, options_.slots / 8);
    responses_since_increase_ = 0;
    is_cold_ = cold_limit_ < options_.slots;
}

void backend_server::drain() {
    for (auto& connection : connections_)
        connection.go_away();
}

void backend_server::make_connections_unresponsive() {
    for (auto& connection : connections_)
        connection.make_unresponsive();
}

void backend_server::break_connections() {
    connections_.clear();
}

} // namespace radishspread::standins
