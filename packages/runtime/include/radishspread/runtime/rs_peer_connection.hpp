#ifndef RADISHSPREAD_RUNTIME_RS_PEER_CONNECTION_HPP
#define RADISHSPREAD_RUNTIME_RS_PEER_CONNECTION_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/runtime/rs_connection_watchdog.hpp>
#include <radishspread/runtime/rs_http2_transport.hpp>
#include <radishspread/runtime/rs_section_response.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishspread::runtime {

/// HTTP/2 client connection to one peer. Callbacks run from `flush` and socket
/// events, never from `get`.
class peer_connection {
public:
    peer_connection(endpoint peer, watchdog_options options, instant now);
    ~peer_connection();
    peer_connection(peer_connection const&) = delete;
    peer_connection& operator=(peer_connection const&) = delete;

    void get(instant now, std::string const& path, response_callback callback);
    void tick(instant now);
    void flush();

    /// Closes the connection; pending requests fail with `ec`, and their
    /// callbacks run later.
    void fail(std::error_code ec);

    /// Closes the connection; callbacks of pending requests do not run.
    void abandon();

    [[nodiscard]] bool is_closed() const { return is_closed_; }
    [[nodiscard]] std::size_t outstanding() const { return streams_.size(); }

private:
    struct stream {
        section_response response;
        response_callback callback;
        bool is_complete = false; ///< END_STREAM was received.
    };
    struct finished_request {
        section_response response;
        response_callback callback;
    };
    friend struct peer_client_callbacks;

    [[nodiscard]] http2_session_ptr make_session();
    void end_stream(std::int32_t stream_id, std::uint32_t error);
    void handle_read();
    void run_callbacks();

    endpoint peer_;
    std::string authority_;
    connection_watchdog watchdog_;
    std::unordered_map<std::int32_t, stream> streams_;
    std::vector<finished_request> finished_requests_;
    std::unique_ptr<http2_transport> transport_;
    bool is_closed_ = false;
    bool is_abandoned_ = false;
};

} // namespace radishspread::runtime

#endif
