#ifndef RADISHSPREAD_BENCH_RS_ALLOCATION_COUNT_HPP
#define RADISHSPREAD_BENCH_RS_ALLOCATION_COUNT_HPP

#include <cstddef>

namespace radishspread::bench {

/// Number of calls of `operator new` in this process so far.
[[nodiscard]] std::size_t allocation_count();

/// Bytes currently allocated through `operator new`, with the sizes as rounded
/// up by the allocator.
[[nodiscard]] std::size_t allocated_bytes();

} // namespace radishspread::bench

#endif
