#ifndef RADISHSPREAD_RUNTIME_RS_BACKEND_SESSION_HPP
#define RADISHSPREAD_RUNTIME_RS_BACKEND_SESSION_HPP

#include <radishspread/core/rs_backend_event.hpp>
#include <radishspread/core/rs_backend_request.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/runtime/rs_http2_transport.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishspread::runtime {

/// Settings of a session to the backend server.
struct backend_session_options {
    endpoint target;
    std::uint64_t connection = 0;         ///< From the `connect` action.
    std::size_t max_response = 1U << 20U; ///< Size of a body, bytes.
};

/// HTTP/2 client session to the backend server over one connection. Events
/// are queued while nghttp2 processes received bytes and reported to the
/// listener afterwards, so the listener may dispatch, cancel, or close the
/// session.
class backend_session {
public:
    using listener = std::function<void(backend_event const&)>;

    backend_session(backend_session_options options, listener callback);
    ~backend_session();
    backend_session(backend_session const&) = delete;
    backend_session& operator=(backend_session const&) = delete;

    void dispatch(backend_request const& request);
    void cancel(dispatch_id id);
    void ping();

    /// Sends queued frames and reports events; called before each poll.
    void flush();

    /// Closes the connection; no event is reported afterwards.
    void close();
    [[nodiscard]] bool is_closed() const { return is_closed_; }

private:
    struct stream {
        dispatch_id id = 0;
        std::vector<std::byte> payload;
        std::size_t position = 0; ///< Of the next payload byte to send.
        std::vector<std::byte> body;
        std::uint16_t status = 0; ///< 0 before the response headers.
        bool is_sent = false;
        bool is_complete = false;  ///< END_STREAM was received.
        bool is_too_large = false; ///< The body exceeds `max_response`.
    };
    struct pending_event {
        backend_event event;
        std::vector<std::byte> body;
    };
    friend struct backend_callbacks;

    [[nodiscard]] http2_session_ptr make_session();
    void add_event(backend_event_kind kind, dispatch_id id = 0);
    void add_response_event(stream& it);
    void end_stream(std::int32_t stream_id, std::uint32_t error);
    void handle_settings();
    void handle_closed();
    void notify_listener();

    backend_session_options options_;
    listener callback_;
    std::string authority_;
    std::unordered_map<std::int32_t, stream> streams_;
    std::unordered_map<dispatch_id, std::int32_t> stream_ids_;
    std::vector<pending_event> events_;
    std::unique_ptr<http2_transport> transport_;
    bool has_settings_ = false;
    bool is_closed_ = false;
    bool is_notifying_ = false;
};

} // namespace radishspread::runtime

#endif
