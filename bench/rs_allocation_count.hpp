#ifndef RADISHSPREAD_BENCH_RS_ALLOCATION_COUNT_HPP
#define RADISHSPREAD_BENCH_RS_ALLOCATION_COUNT_HPP

#include <cstddef>

namespace radishspread::bench {

/// Calls of `operator new` in this process so far.
[[nodiscard]] std::size_t allocation_count();

/// Bytes held through `operator new` at present, as the heap rounds them.
[[nodiscard]] std::size_t allocated_bytes();

} // namespace radishspread::bench

#endif
