#ifndef RADISHSPREAD_BENCH_RS_QUEUE_MODEL_HPP
#define RADISHSPREAD_BENCH_RS_QUEUE_MODEL_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <vector>

namespace radishspread::bench {

/// How the model assigns requests to backend servers.
enum class placement : std::uint8_t {
    shortest_queue, ///< Fewest requests per slot of all backend servers, from
                    ///< exact and immediate knowledge of their load.
    modulo,         ///< Hash modulo the number of backend servers.
    stable,         ///< Weighted rendezvous hash, with the slots as weights.
};

struct queue_model_options {
    std::vector<std::uint32_t> slots; ///< Of each backend server.
    double load = 0.7;    ///< Arrival rate relative to the capacity.
    duration run_time{0}; ///< Mean; uniform from 0.7 to 1.3 of it.
    duration begin{0};    ///< Time of the first sample.
    duration end{0};      ///< End of the simulation.
    duration sample_interval{0};
    std::uint64_t seed = 0;
};

/// For each sample, the number of occupied slots of each backend server.
using occupancy_samples = std::vector<std::vector<std::uint32_t>>;

/// Simulates backend servers that run up to as many requests as they have slots
/// and queue the others. Arrivals are a Poisson process.
[[nodiscard]] occupancy_samples run_queue_model(
    queue_model_options const& options, placement policy);

} // namespace radishspread::bench

#endif
