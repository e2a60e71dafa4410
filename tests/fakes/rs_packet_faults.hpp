#ifndef RADISHSPREAD_TESTS_FAKES_RS_PACKET_FAULTS_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_PACKET_FAULTS_HPP

#include <radishspread/core/rs_time.hpp>

#include <random>
#include <vector>

namespace radishspread::fakes {

/// Faults injected into datagrams. Each probability applies to one datagram,
/// but that of a delay to each copy.
struct packet_faults {
    double loss_probability = 0;
    double duplicate_probability = 0;
    double delay_probability = 0;
    duration extra_delay = std::chrono::milliseconds(700); ///< If delayed.
    /// Upper limit of the random delay of each copy, which reorders datagrams.
    duration max_reorder_delay{0};

    /// Extra delays of the copies that arrive; empty if the datagram is lost.
    [[nodiscard]] std::vector<duration> draw(std::mt19937_64& random) const {
        std::uniform_real_distribution<double> chance(0, 1);
        std::vector<duration> copies;
        if (chance(random) < loss_probability)
            return copies;
        int const n = chance(random) < duplicate_probability ? 2 : 1;
        for (int i = 0; i < n; ++i) {
            duration extra{0};
            if (chance(random) < delay_probability)
                extra += extra_delay;
            if (max_reorder_delay.count() > 0)
                extra += duration(std::uniform_int_distribution<long>(
                    0, max_reorder_delay.count())(random));
            copies.push_back(extra);
        }
        return copies;
    }
};

} // namespace radishspread::fakes

#endif
