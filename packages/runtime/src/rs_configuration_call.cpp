#include <radishspread/runtime/internal/rs_configuration_call.hpp>

#include <charconv>
#include <cstring>
#include <utility>

namespace radishspread::runtime {

namespace {

constexpr gsize chunk_size = 64U << 10U;

// Frees `error` and returns the matching error code.
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

configuration_call::configuration_call(instant deadline,
    std::size_t max_reply_size, char const* era_header,
    response_callback callback)
    : deadline_(deadline), max_reply_size_(max_reply_size),
      era_header_(era_header), callback_(std::move(callback)),
      cancellable_(g_cancellable_new()) {}

configuration_call::~configuration_call() {
    g_clear_object(&stream_);
    g_clear_object(&message_);
    g_clear_object(&cancellable_);
}

void configuration_call::start(SoupSession* session, std::string const& uri) {
    message_ = soup_message_new("GET", uri.c_str());
    // The store and the peers are named in the settings; a reply must not
    // choose where the next call goes.
    soup_message_add_flags(message_, SOUP_MESSAGE_NO_REDIRECT);
    // If the other end closes a connection that is used again, libsoup repeats
    // the call by itself, and may then return its result twice, which uses
    // freed memory.
    soup_message_add_flags(message_, SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_headers_replace(
        soup_message_get_request_headers(message_), "Connection", "close");
    soup_session_send_async(session, message_, G_PRIORITY_DEFAULT, cancellable_,
        on_sent, new self_pointer(shared_from_this()));
}

void configuration_call::abandon() {
    is_done_ = true;
    callback_ = nullptr;
    g_cancellable_cancel(cancellable_);
}

void configuration_call::expire() {
    // The pending operation fails with G_IO_ERROR_CANCELLED, which `take_error`
    // maps to a timeout. The new deadline prevents a second cancellation.
    deadline_ = instant::max();
    g_cancellable_cancel(cancellable_);
}

void configuration_call::on_sent(
    GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<self_pointer> const self(static_cast<self_pointer*>(data));
    auto& call = **self;
    GError* error = nullptr;
    call.stream_ =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    if (call.stream_ == nullptr)
        return call.finish(take_error(error));
    call.read_headers();
    call.read_chunk();
}

void configuration_call::read_headers() {
    response_.status =
        static_cast<std::uint16_t>(soup_message_get_status(message_));
    response_.held = read_number("X-Revision");
    if (era_header_ != nullptr)
        response_.era = read_number(era_header_);
}

std::uint64_t configuration_call::read_number(char const* header) const {
    std::uint64_t out = 0;
    auto const* text = soup_message_headers_get_one(
        soup_message_get_response_headers(message_), header);
    if (text != nullptr)
        std::from_chars(text, text + std::strlen(text), out);
    return out;
}

void configuration_call::read_chunk() {
    g_input_stream_read_bytes_async(stream_, chunk_size, G_PRIORITY_DEFAULT,
        cancellable_, on_chunk_read, new self_pointer(shared_from_this()));
}

void configuration_call::on_chunk_read(
    GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<self_pointer> const self(static_cast<self_pointer*>(data));
    auto& call = **self;
    GError* error = nullptr;
    auto* bytes = g_input_stream_read_bytes_finish(
        G_INPUT_STREAM(source), result, &error);
    if (bytes == nullptr)
        return call.finish(take_error(error));
    gsize size = 0;
    auto const* text = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    if (size > 0)
        call.response_.body.append(text, size);
    g_bytes_unref(bytes);
    if (size == 0)
        return call.finish({});
    if (call.response_.body.size() > call.max_reply_size_) {
        g_cancellable_cancel(call.cancellable_);
        return call.finish(std::make_error_code(std::errc::message_size));
    }
    call.read_chunk();
}

void configuration_call::finish(std::error_code ec) {
    is_done_ = true;
    response_.code = ec;
    // The connection ends with the stream; other calls may wait for it.
    g_clear_object(&stream_);
    auto const callback = std::exchange(callback_, nullptr);
    if (callback)
        callback(response_);
}

} // namespace radishspread::runtime
