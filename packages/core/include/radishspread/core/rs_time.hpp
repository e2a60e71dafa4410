#ifndef RADISHSPREAD_CORE_RS_TIME_HPP
#define RADISHSPREAD_CORE_RS_TIME_HPP

#include <chrono>

namespace radishspread {

/// Unit of all time arithmetic in the core.
using duration = std::chrono::microseconds;

/// Monotonic clock of the core. It has no `now()`: the driver passes the time.
struct core_clock {
    using duration = radishspread::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// A point in monotonic time, in microseconds since an arbitrary origin.
using instant = core_clock::time_point;

} // namespace radishspread

#endif
