#ifndef RADISHSPREAD_RUNTIME_RS_PEER_SERVER_HPP
#define RADISHSPREAD_RUNTIME_RS_PEER_SERVER_HPP

#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_log_event.hpp>
#include <radishspread/core/rs_peer_digest.hpp>
#include <radishspread/core/rs_section.hpp>
#include <radishspread/runtime/rs_connection_watchdog.hpp>
#include <radishspread/runtime/rs_fd_watch.hpp>
#include <radishspread/runtime/rs_unique_fd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace radishspread::runtime {

class peer_server_connection;

/// Key and limits of the server for connections from peers.
struct peer_server_options {
    fleet_key key;
    watchdog_options watchdog;
    std::size_t max_connections = 32;
    std::uint32_t max_streams = 16;
    std::size_t max_header_size = 4096; ///< All headers of a request, bytes.
};

/// Provides the sections and the index that the server publishes, and takes
/// its log events.
struct peer_server_source {
    std::function<section_ptr(std::string_view)> find;
    std::function<std::vector<digest_entry>()> index;
    std::function<void(log_event const&)> log;
};

/// HTTP/2 server for peers: `GET /v1/sections/NAME` and `GET /v1/index`.
class peer_server {
public:
    peer_server(peer_server_options options, peer_server_source source);
    ~peer_server();
    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;

    [[nodiscard]] std::error_code listen(endpoint at);
    void tick(instant now);
    void flush();

    [[nodiscard]] std::size_t connections() const {
        return connections_.size();
    }
    /// Bound port; the system chooses it if the server listens on port 0.
    [[nodiscard]] std::uint16_t port() const;

private:
    void accept_all();
    void log(std::uint16_t number, endpoint peer, std::string_view text);
    void remove_closed();

    peer_server_options options_;
    peer_server_source source_;
    unique_fd fd_;
    fd_watch watch_;
    std::vector<std::unique_ptr<peer_server_connection>> connections_;
};

} // namespace radishspread::runtime

#endif
