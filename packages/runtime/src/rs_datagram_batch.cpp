#include <radishspread/runtime/rs_datagram_batch.hpp>

namespace radishspread::runtime {

receive_batch::receive_batch() {
    for (std::size_t n = 0; n < batch_size; ++n) {
        vectors_[n] = {buffers_[n].data(), capacity};
        headers_[n].msg_hdr.msg_name = &addresses_[n];
        headers_[n].msg_hdr.msg_iov = &vectors_[n];
        headers_[n].msg_hdr.msg_iovlen = 1;
    }
}

std::size_t receive_batch::receive(int fd) {
    for (auto& it : headers_)
        it.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    int const n =
        recvmmsg(fd, headers_.data(), batch_size, MSG_DONTWAIT, nullptr);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

endpoint receive_batch::from(std::size_t n) const {
    return {.address = ntohl(addresses_[n].sin_addr.s_addr),
        .port = ntohs(addresses_[n].sin_port)};
}

std::span<std::byte const> receive_batch::data(std::size_t n) const {
    return {buffers_[n].data(), headers_[n].msg_len};
}

} // namespace radishspread::runtime
