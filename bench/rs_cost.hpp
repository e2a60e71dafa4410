#ifndef RADISHSPREAD_BENCH_RS_COST_HPP
#define RADISHSPREAD_BENCH_RS_COST_HPP

#include <bench/rs_report.hpp>

namespace radishspread::bench {

/// Measures CPU time and allocations of routing decisions and of the codec.
[[nodiscard]] table measure_cost(bool is_quick);

/// Measures heap memory per flow, backend server and section.
[[nodiscard]] table measure_memory();

} // namespace radishspread::bench

#endif
