#include <standins/rs_fabric.hpp>
#include <standins/rs_socket.hpp>

#include <sys/socket.h>

namespace radishspread::standins {

void fabric::send(
    int fd, std::uint16_t port, std::span<std::byte const> packet) {
    if (draw(faults_.loss_probability))
        return;
    send_one(fd, port, packet);
    if (draw(faults_.duplicate_probability))
        send_one(fd, port, packet);
}

void fabric::send_one(
    int fd, std::uint16_t port, std::span<std::byte const> packet) {
    if (balancers_.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, balancers_.size() - 1);
    auto const to = to_sockaddr({balancers_[pick(random_)], port});
    auto const write = [fd, to](std::span<std::byte const> bytes) {
        // Send errors are ignored: a packet that the socket does not accept is
        // lost, as on a real network.
        static_cast<void>(sendto(fd, bytes.data(), bytes.size(), 0,
            reinterpret_cast<sockaddr const*>(&to), sizeof to));
    };
    if (!draw(faults_.delay_probability)) {
        write(packet);
        return;
    }
    std::uniform_int_distribution<duration::rep> wait(
        1000, faults_.max_delay.count());
    std::vector<std::byte> copy(packet.begin(), packet.end());
    auto const place = delayed_.emplace(delayed_.end());
    *place = call_after(
        duration(wait(random_)), [this, place, write, bytes = std::move(copy)] {
            write(bytes);
            delayed_.erase(place);
        });
}

bool fabric::draw(double probability) {
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
}

} // namespace radishspread::standins
