#ifndef RADISHSPREAD_RUNTIME_RS_DATAGRAM_BATCH_HPP
#define RADISHSPREAD_RUNTIME_RS_DATAGRAM_BATCH_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/wire/rs_codec.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <span>

namespace radishspread::runtime {

/// Datagrams received or sent by one system call.
inline constexpr std::size_t batch_size = 32;

/// Buffers for one `recvmmsg` call. One batch serves all sockets in turn.
class receive_batch {
public:
    receive_batch();
    receive_batch(receive_batch const&) = delete;
    receive_batch& operator=(receive_batch const&) = delete;

    /// Receives without waiting; returns the count of datagrams, 0 if none.
    std::size_t receive(int fd);

    [[nodiscard]] endpoint from(std::size_t n) const;
    /// The datagram, whose size exceeds `wire::max_datagram` if it was cut.
    [[nodiscard]] std::span<std::byte const> data(std::size_t n) const;

private:
    // One byte more than is valid, so that a longer datagram is detected.
    static constexpr std::size_t capacity = wire::max_datagram + 1;

    std::array<std::array<std::byte, capacity>, batch_size> buffers_;
    std::array<sockaddr_in, batch_size> addresses_{};
    std::array<iovec, batch_size> vectors_{};
    std::array<mmsghdr, batch_size> headers_{};
};

} // namespace radishspread::runtime

#endif
