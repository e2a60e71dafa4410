#ifndef RADISHSPREAD_RUNTIME_RS_DATAGRAM_SENDER_HPP
#define RADISHSPREAD_RUNTIME_RS_DATAGRAM_SENDER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/runtime/rs_datagram_batch.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread::runtime {

/// Queue of datagrams to send, shared by all sockets. `flush` sends them
/// grouped by socket, up to `batch_size` per `sendmmsg` call; a full queue is
/// flushed automatically.
class datagram_sender {
public:
    void queue(int fd, endpoint to, std::span<std::byte const> data);
    void flush();

    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    /// Datagrams not sent: empty, too long, or rejected by the system (for
    /// example send buffer full or no route).
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    struct entry {
        int fd = -1;
        std::size_t size = 0;
        sockaddr_in to{};
        std::array<std::byte, wire::max_datagram> data;
    };

    /// Sends the entries with these indices, which share one socket.
    void send_entries(std::span<std::uint8_t const> order);

    std::array<entry, 2 * batch_size> entries_;
    std::size_t count_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace radishspread::runtime

#endif
