#ifndef RADISHSPREAD_BENCH_RS_QUEUE_MODEL_HPP
#define RADISHSPREAD_BENCH_RS_QUEUE_MODEL_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <vector>

namespace radishspread::bench {

/// How the model places a request.
enum class placement : std::uint8_t {
    shortest_queue, ///< Least requests per slot of all backend servers, known
                    ///< at once and exactly.
    modulo,         ///< Hash modulo the backend servers.
    stable,         ///< Rendezvous hash weighted by slots.
};

struct queue_model_options {
    std::vector<std::uint32_t> slots; ///< Of each backend server.
    double load = 0.7;                ///< Share of all slots.
    duration run_time{0};             ///< Mean; drawn from 0.7 to 1.3 of it.
    duration begin{0};                ///< Samples are taken from here
    duration end{0};                  ///< to here, each `sample_interval`.
    duration sample_interval{0};
    std::uint64_t seed = 0;
};

/// Occupied slots of each backend server, by sample.
using occupancy_samples = std::vector<std::vector<std::uint32_t>>;

/// Simulates backend servers that run as many requests as they have slots and
/// queue the others, with Poisson arrivals.
[[nodiscard]] occupancy_samples run_queue_model(
    queue_model_options const& options, placement policy);

} // namespace radishspread::bench

#endif
