#ifndef RADISHSPREAD_RUNTIME_RS_DATAGRAM_SOCKETS_HPP
#define RADISHSPREAD_RUNTIME_RS_DATAGRAM_SOCKETS_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/runtime/rs_datagram_batch.hpp>
#include <radishspread/runtime/rs_datagram_sender.hpp>
#include <radishspread/runtime/rs_fd_watch.hpp>
#include <radishspread/runtime/rs_unique_fd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>
#include <unordered_map>

namespace radishspread::runtime {

/// Identifies a socket of the process: the service id, or 0 for the peer port.
using socket_key = std::uint32_t;
inline constexpr socket_key peer_socket = 0;

/// UDP sockets of the process, read round-robin in batches, so that a flood on
/// one socket does not delay the others.
class datagram_sockets {
public:
    /// Handles the first `count` datagrams of `batch`, received on socket
    /// `key`.
    using handler = std::function<void(
        socket_key key, receive_batch const& batch, std::size_t count)>;

    explicit datagram_sockets(handler callback);

    /// Opens a socket bound to `at`. `key` must not be in use.
    [[nodiscard]] std::error_code open(socket_key key, endpoint at);
    void close(socket_key key);

    /// Queues a datagram to send from the socket `key`; drops it if there is no
    /// such socket.
    void send(socket_key key, endpoint to, std::span<std::byte const> data);
    void flush() { sender_.flush(); }

    /// Discards all datagrams received so far; returns their number.
    std::size_t drain();

    [[nodiscard]] datagram_sender const& sender() const { return sender_; }

private:
    void read_ready();
    /// Reads one batch from each ready socket; false if none was ready.
    bool read_round();

    handler callback_;
    unique_fd epoll_;
    fd_watch watch_;
    std::unordered_map<socket_key, unique_fd> sockets_;
    std::unique_ptr<receive_batch> batch_;
    datagram_sender sender_;
};

} // namespace radishspread::runtime

#endif
