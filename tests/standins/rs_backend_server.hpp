#ifndef RADISHSPREAD_TESTS_STANDINS_RS_BACKEND_SERVER_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_BACKEND_SERVER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <standins/rs_http2_connection.hpp>
#include <standins/rs_loop.hpp>
#include <standins/rs_run_history.hpp>
#include <standins/rs_socket.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

namespace radishspread::standins {

/// How a backend server rejects requests for load shedding.
enum class shedding : std::uint8_t { none, refused_stream, status_503 };

/// Fixed properties of a backend server.
struct backend_server_options {
    std::string name;
    endpoint address;
    service_id service = 0;
    backend_id id = 0;
    domain_id domain = 0;
    std::size_t slots = 1;
};

/// A backend server that speaks HTTP/2 with prior knowledge. `POST` runs a
/// request; `GET /health` and `GET /load` always report a healthy, idle server.
///
/// A cold server is slow and handles max(1, slots / 8) requests concurrently.
/// This limit rises by one after each 3 x limit responses, up to the number of
/// slots. Requests above the limit, or above the slots of a warm server, get
/// status 503 and are counted as overloads in the run history.
class backend_server {
public:
    backend_server(backend_server_options options, run_history& history);

    /// Restarts the warm-up; without this call the server is warm.
    void set_cold();
    void set_shedding(shedding value) { shedding_ = value; }
    /// Sends GOAWAY on every connection; running requests complete.
    void drain();
    /// Open connections permanently stop reading and writing, but stay open.
    /// New connections work.
    void make_connections_unresponsive();
    /// Closes all connections, as a crash would. Running requests are lost.
    void break_connections();

    [[nodiscard]] backend_server_options const& options() const {
        return options_;
    }
    [[nodiscard]] std::size_t running() const { return running_; }
    [[nodiscard]] std::size_t connections() const {
        return connections_.size();
    }
    /// Requests that the agent cancelled while they ran.
    [[nodiscard]] std::size_t cancelled() const { return cancelled_; }

private:
    void accept();
    void serve(http2_connection& connection, http2_request const& request);
    void run(http2_connection& connection, http2_request const& request,
        request_text const& text);
    void finish(http2_connection& connection, std::int32_t stream,
        request_text const& text, bool in_time);
    [[nodiscard]] std::size_t capacity() const;

    backend_server_options options_;
    run_history& history_;
    unique_fd listener_;
    runtime::fd_watch watch_;
    shedding shedding_ = shedding::none;
    bool is_cold_ = false;
    std::size_t responses_since_increase_ = 0;
    std::size_t cold_limit_ = 1;
    std::size_t running_ = 0;
    std::size_t cancelled_ = 0;
    std::list<http2_connection> connections_;
};

} // namespace radishspread::standins

#endif
