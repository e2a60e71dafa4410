#ifndef RADISHSPREAD_RUNTIME_RS_CLOCK_HPP
#define RADISHSPREAD_RUNTIME_RS_CLOCK_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::runtime {

/// Time of CLOCK_BOOTTIME, which continues while the process is stopped and
/// while the host is suspended.
[[nodiscard]] instant monotonic_now();

/// Nanoseconds since the Unix epoch, 1970 (CLOCK_REALTIME); for traces and
/// logs.
[[nodiscard]] std::uint64_t wall_nanoseconds();

} // namespace radishspread::runtime

#endif
