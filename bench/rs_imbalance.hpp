#ifndef RADISHSPREAD_BENCH_RS_IMBALANCE_HPP
#define RADISHSPREAD_BENCH_RS_IMBALANCE_HPP

#include <bench/rs_report.hpp>

namespace radishspread::bench {

/// Measures the imbalance of occupied slots across the warm backend servers of
/// one service, sampled over time, as maximum over mean and as coefficient of
/// variation. Compares it with the baselines and with a queue model that
/// has full knowledge of the load.
[[nodiscard]] table measure_imbalance(std::uint64_t seed, bool is_quick);

} // namespace radishspread::bench

#endif
