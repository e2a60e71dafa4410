#ifndef RADISHSPREAD_TESTS_STANDINS_RS_FABRIC_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_FABRIC_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <standins/rs_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <random>
#include <span>
#include <vector>

namespace radishspread::standins {

/// Faults that the fabric injects; probabilities per packet from 0 to 1.
struct fabric_faults {
    double loss_probability = 0;
    double duplicate_probability = 0;
    double delay_probability = 0; ///< Delayed packets are reordered.
    duration max_delay = std::chrono::milliseconds(50);
};

/// Stand-in for the packet fabric: sends each packet of a caller to a random
/// balancer. Packets are sent from the caller's own socket, so that the
/// balancer sees the caller's address as the source.
class fabric {
public:
    explicit fabric(std::uint64_t seed) : random_(seed) {}

    void add(std::uint32_t balancer) { balancers_.push_back(balancer); }
    void remove(std::uint32_t balancer) { std::erase(balancers_, balancer); }
    void set_faults(fabric_faults faults) { faults_ = faults; }

    /// Sends `packet` from the socket `fd` to `port` of a random balancer.
    void send(int fd, std::uint16_t port, std::span<std::byte const> packet);

    /// Decides for one reply whether it is lost; each call draws anew with the
    /// loss probability.
    [[nodiscard]] bool should_drop_reply() {
        return draw(faults_.loss_probability);
    }

private:
    bool draw(double probability);
    void send_one(
        int fd, std::uint16_t port, std::span<std::byte const> packet);

    std::mt19937_64 random_;
    fabric_faults faults_;
    std::vector<std::uint32_t> balancers_;
    std::list<source_handle> delayed_;
};

} // namespace radishspread::standins

#endif
