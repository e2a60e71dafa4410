#include <radishspread/runtime/internal/rs_configuration_call.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>

#include <charconv>
#include <cstring>
#include <utility>

namespace radishspread::runtime {

namespace {

constexpr gsize part_size = 64U << 10U;

std::error_code take_error(GError* error) {
    auto ec = std::make_error_code(std::errc::io_error);
    if (error == nullptr)
        return ec;
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED) ||
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
        ec = std::make_error_code(std::errc::timed_out);
    else if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
        ec = std::make_error_code(std::errc::connection_refused);
    g_error_free(error);
    return ec;
}

} // namespace

configuration_call::configuration_call(instant limit, response_callback call)
    : limit_(limit), call_(std::move(call)), cancel_(g_cancellable_new()) {}

configuration_call::~configuration_call() {
    g_clear_object(&stream_);
    g_clear_object(&message_);
    g_clear_object(&cancel_);
}

void configuration_call::start(SoupSession* session, std::string const& uri) {
    message_ = soup_message_new("GET", uri.c_str());
    soup_session_send_async(session, message_, G_PRIORITY_DEFAULT, cancel_,
        sent, new holder(shared_from_this()));
}

void configuration_call::abandon() {
    is_done_ = true;
    call_ = nullptr;
    g_cancellable_cancel(cancel_);
}

void configuration_call::expire() {
    // The library reports the cancellation, which becomes a timeout.
    limit_ = instant::max();
    g_cancellable_cancel(cancel_);
}

void configuration_call::sent(
    GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<holder> const keep(static_cast<holder*>(data));
    auto& it = **keep;
    GError* error = nullptr;
    it.stream_ = soup_session_send_finish(SOUP_SESSION(source), result, &error);
    if (it.stream_ == nullptr)
        return it.finish(take_error(error));
    it.read_headers();
    it.read_part();
}

void configuration_call::read_headers() {
    response_.status =
        static_cast<std::uint16_t>(soup_message_get_status(message_));
    auto const* text = soup_message_headers_get_one(
        soup_message_get_response_headers(message_), "X-Revision");
    if (text != nullptr)
        std::from_chars(text, text + std::strlen(text), response_.held);
}

void configuration_call::read_part() {
    g_input_stream_read_bytes_async(stream_, part_size, G_PRIORITY_DEFAULT,
        cancel_, got_part, new holder(shared_from_this()));
}

void configuration_call::got_part(
    GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<holder> const keep(static_cast<holder*>(data));
    auto& it = **keep;
    GError* error = nullptr;
    auto* bytes = g_input_stream_read_bytes_finish(
        G_INPUT_STREAM(source), result, &error);
    if (bytes == nullptr)
        return it.finish(take_error(error));
    gsize size = 0;
    auto const* text = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    if (size > 0)
        it.response_.body.append(text, size);
    g_bytes_unref(bytes);
    if (size == 0)
        return it.finish({});
    if (it.response_.body.size() > max_section_size) {
        g_cancellable_cancel(it.cancel_);
        return it.finish(std::make_error_code(std::errc::message_size));
    }
    it.read_part();
}

void configuration_call::finish(std::error_code ec) {
    is_done_ = true;
    response_.code = ec;
    auto const call = std::exchange(call_, nullptr);
    if (call)
        call(response_);
}

} // namespace radishspread::runtime
