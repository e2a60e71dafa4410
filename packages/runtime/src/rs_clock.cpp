#include <radishspread/runtime/rs_clock.hpp>

#include <ctime>

namespace radishspread::runtime {

namespace {

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

std::int64_t read_clock(clockid_t id) {
    timespec value{};
    clock_gettime(id, &value);
    return value.tv_sec * nanoseconds_per_second + value.tv_nsec;
}

} // namespace

instant monotonic_now() {
    // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time for which the
    // host was suspended. A view ages during that time too.
    std::chrono::nanoseconds const value(read_clock(CLOCK_BOOTTIME));
    return instant(std::chrono::duration_cast<duration>(value));
}

std::uint64_t wall_nanoseconds() {
    return static_cast<std::uint64_t>(read_clock(CLOCK_REALTIME));
}

} // namespace radishspread::runtime
