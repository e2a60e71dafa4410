#ifndef RADISHSPREAD_BENCH_RS_PLANNED_CHANGE_HPP
#define RADISHSPREAD_BENCH_RS_PLANNED_CHANGE_HPP

#include <bench/rs_report.hpp>

namespace radishspread::bench {

/// Flows broken by planned change: every balancer replaced, every backend
/// server drained, stopped and started again, edits with uneven views. `quick`
/// reduces the largest deployment.
[[nodiscard]] table measure_planned_change(std::uint64_t seed, bool is_quick);

} // namespace radishspread::bench

#endif
