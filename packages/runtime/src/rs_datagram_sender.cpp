#include <radishspread/runtime/rs_datagram_sender.hpp>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <numeric>

namespace radishspread::runtime {

void datagram_sender::queue(
    int fd, endpoint to, std::span<std::byte const> data) {
    if (data.empty() || data.size() > wire::max_datagram) {
        ++dropped_;
        return;
    }
    if (count_ == entries_.size())
        flush();
    auto& it = entries_[count_++];
    it.fd = fd;
    it.size = data.size();
    it.to.sin_family = AF_INET;
    it.to.sin_addr.s_addr = htonl(to.address);
    it.to.sin_port = htons(to.port);
    std::memcpy(it.data.data(), data.data(), data.size());
}

void datagram_sender::flush() {
    std::array<std::uint8_t, 2 * batch_size> order;
    auto const last = order.begin() + static_cast<std::ptrdiff_t>(count_);
    std::iota(order.begin(), last, std::uint8_t{0});
    auto const by_fd = [&](auto a, auto b) {
        return entries_[a].fd < entries_[b].fd;
    };
    if (!std::is_sorted(order.begin(), last, by_fd))
        std::stable_sort(order.begin(), last, by_fd);
    for (auto it = order.begin(); it != last;) {
        auto const end = std::find_if(it, last,
            [&](auto n) { return entries_[n].fd != entries_[*it].fd; });
        send_entries({it, end});
        it = end;
    }
    count_ = 0;
}

void datagram_sender::send_entries(std::span<std::uint8_t const> order) {
    std::array<iovec, 2 * batch_size> vectors;
    std::array<mmsghdr, 2 * batch_size> headers{};
    for (std::size_t n = 0; n < order.size(); ++n) {
        auto& it = entries_[order[n]];
        vectors[n] = {it.data.data(), it.size};
        headers[n].msg_hdr.msg_name = &it.to;
        headers[n].msg_hdr.msg_namelen = sizeof it.to;
        headers[n].msg_hdr.msg_iov = &vectors[n];
        headers[n].msg_hdr.msg_iovlen = 1;
    }
    int const fd = entries_[order.front()].fd;
    std::size_t done = 0;
    while (done < order.size()) {
        auto const left = std::min(order.size() - done, batch_size);
        int const n = sendmmsg(fd, headers.data() + done,
            static_cast<unsigned>(left), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN)
            break;
        // Any other error applies to the first datagram only, which is skipped.
        done += n > 0 ? static_cast<std::size_t>(n) : 1;
        n > 0 ? sent_ += static_cast<std::uint64_t>(n) : ++dropped_;
    }
    dropped_ += order.size() - done;
}

} // namespace radishspread::runtime
