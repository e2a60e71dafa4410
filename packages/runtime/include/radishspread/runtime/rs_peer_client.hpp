#ifndef RADISHSPREAD_RUNTIME_RS_PEER_CLIENT_HPP
#define RADISHSPREAD_RUNTIME_RS_PEER_CLIENT_HPP

#include <radishspread/runtime/rs_peer_connection.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Limits of the client for connections to peers.
struct peer_client_options {
    watchdog_options watchdog;
    std::size_t max_connections = 16;
    std::size_t max_requests = 64; ///< Outstanding on each connection.
};

/// Reads sections and indexes from peers over one HTTP/2 connection per peer.
class peer_client {
public:
    explicit peer_client(peer_client_options options = {});

    /// Requests `path`. `callback` runs exactly once, later, from `flush` or a
    /// socket event, unless the client is destroyed or reset before.
    void get(instant now, endpoint peer, std::string const& path,
        response_callback callback);

    void tick(instant now);
    void flush();

    /// Closes all connections; callbacks of pending requests do not run.
    void reset();

private:
    void remove_closed();

    peer_client_options options_;
    std::map<endpoint, std::unique_ptr<peer_connection>> connections_;
    std::vector<response_callback> rejected_;
    /// Closed connections, destroyed by the next `flush`: their own callbacks
    /// may still be on the stack when they are closed.
    std::vector<std::unique_ptr<peer_connection>> retired_;
};

} // namespace radishspread::runtime

#endif
