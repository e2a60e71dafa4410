#ifndef RADISHSPREAD_BENCH_RS_IMBALANCE_HPP
#define RADISHSPREAD_BENCH_RS_IMBALANCE_HPP

#include <bench/rs_report.hpp>

namespace radishspread::bench {

/// Imbalance of occupied slots over the warm backend servers of one service,
/// sampled over time: maximum over mean and coefficient of variation, beside
/// baselines and a queue with full knowledge.
[[nodiscard]] table measure_imbalance(std::uint64_t seed, bool is_quick);

} // namespace radishspread::bench

#endif
