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

/// Maximum number of datagrams received or sent by one system call.
inline constexpr std::size_t batch_size = 32;

/// Buffers for one `recvmmsg` call. All sockets use the same batch in turn.
class receive_batch {
public:
    receive_batch();
    receive_batch(receive_batch const&) = delete;
    receive_batch& operator=(receive_batch const&) = delete;

    /// Receives without blocking; returns the number of datagrams, 0 if there
    /// is none.
    std::size_t receive(int fd);

    /// Source address of datagram `n`.
    [[nodiscard]] endpoint from(std::size_t n) const;
    /// Datagram `n`. A size above `wire::max_datagram` means that the datagram
    /// was too long and is truncated.
    [[nodiscard]] std::span<std::byte const> data(std::size_t n) const;

private:
    // One byte more than the longest valid datagram, to detect longer ones.
    static constexpr std::size_t capacity = wire::max_datagram + 1;

    std::array<std::array<std::byte, capacity>, batch_size> buffers_;
    std::array<sockaddr_in, batch_size> addresses_{};
    std::array<iovec, batch_size> vectors_{};
    std::array<mmsghdr, batch_size> headers_{};
};

} // namespace radishspread::runtime

#endif
