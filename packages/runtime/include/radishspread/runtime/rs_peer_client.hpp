#ifndef RADISHSPREAD_RUNTIME_RS_PEER_CLIENT_HPP
#define RADISHSPREAD_RUNTIME_RS_PEER_CLIENT_HPP

#include <radishspread/runtime/rs_peer_connection.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Bounds of the client side between peers.
struct peer_client_options {
    progress_options progress;
    std::size_t max_connections = 16;
    std::size_t max_requests = 64; ///< Outstanding on one connection.
};

/// Reads sections and indexes from peers, over one connection for each peer.
class peer_client {
public:
    explicit peer_client(peer_client_options options = {});

    /// Requests `path`. `call` is made later, from `flush`, `tick` or a socket
    /// event, exactly once unless the client is destroyed or reset before.
    void get(instant now, endpoint peer, std::string const& path,
        response_callback call);

    void tick(instant now);
    void flush();

    /// Drops all connections; pending requests are not called back.
    void reset();

private:
    void remove_closed();

    peer_client_options options_;
    std::map<endpoint, std::unique_ptr<peer_connection>> connections_;
    std::vector<response_callback> rejected_;
    /// Ended connections, kept until no call of theirs can be on the stack.
    std::vector<std::unique_ptr<peer_connection>> retired_;
};

} // namespace radishspread::runtime

#endif
