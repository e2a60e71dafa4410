#ifndef RADISHSPREAD_BENCH_RS_COST_HPP
#define RADISHSPREAD_BENCH_RS_COST_HPP

#include <bench/rs_report.hpp>

namespace radishspread::bench {

/// CPU time and allocations of the decisions and of the codec.
[[nodiscard]] table measure_cost(bool is_quick);

/// Memory by flow, backend server and section.
[[nodiscard]] table measure_memory();

} // namespace radishspread::bench

#endif
