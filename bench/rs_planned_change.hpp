#ifndef RADISHSPREAD_BENCH_RS_PLANNED_CHANGE_HPP
#define RADISHSPREAD_BENCH_RS_PLANNED_CHANGE_HPP

#include <bench/rs_report.hpp>

namespace radishspread::bench {

/// Counts the flows broken by planned changes: every balancer is replaced,
/// every backend server is drained, stopped and started again, and edits reach
/// the processes after different delays. `is_quick` reduces the largest
/// deployment.
[[nodiscard]] table measure_planned_change(std::uint64_t seed, bool is_quick);

} // namespace radishspread::bench

#endif
