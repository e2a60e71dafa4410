#include <radishspread/runtime/rs_process_resources.hpp>

#include <radishspread/runtime/rs_clock.hpp>

#include <sched.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <system_error>

namespace radishspread::runtime {

namespace {

/// Value of a gauge that cannot be read.
constexpr double unknown = std::numeric_limits<double>::quiet_NaN();

std::string limit_text(char const* name, __rlimit_resource resource) {
    rlimit limit{};
    std::string out = " ";
    out += name;
    if (getrlimit(resource, &limit) != 0)
        return out + "=unknown";
    return limit.rlim_cur == RLIM_INFINITY
               ? out + "=unlimited"
               : out + '=' + std::to_string(limit.rlim_cur);
}

int count_cores() {
    cpu_set_t cores;
    CPU_ZERO(&cores);
    return sched_getaffinity(0, sizeof cores, &cores) == 0 ? CPU_COUNT(&cores)
                                                           : 0;
}

double resident_bytes() {
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    if (!(in >> total >> resident))
        return unknown;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double open_descriptors() {
    std::error_code ec;
    std::filesystem::directory_iterator const it("/proc/self/fd", ec);
    if (ec)
        return unknown;
    // The descriptor of the iterator is listed as well.
    return static_cast<double>(std::distance(begin(it), end(it)) - 1);
}

double seconds(timeval const& time) {
    constexpr double seconds_per_us = 1e-6;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * seconds_per_us;
}

double processor_seconds() {
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) != 0)
        return unknown;
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace

std::string version_and_limits() {
    return std::string("version=") + RADISHSPREAD_BUILD +
           limit_text("address_space", RLIMIT_AS) +
           limit_text("descriptors", RLIMIT_NOFILE) +
           limit_text("file_size", RLIMIT_FSIZE) +
           limit_text("processor_seconds", RLIMIT_CPU) +
           " cores=" + std::to_string(count_cores());
}

void add_resource_gauges(metrics& out) {
    out.add_gauge(
        "process_resident_memory_bytes", "Resident memory.", resident_bytes);
    out.add_gauge("process_open_fds", "Open descriptors.", open_descriptors);
    out.add_gauge("process_cpu_seconds",
        "Processor time of the process, in seconds.", processor_seconds);
    out.add_gauge("process_uptime_seconds",
        "Time since the start of the process, in seconds.",
        [start = monotonic_now()] {
            return std::chrono::duration<double>(monotonic_now() - start)
                .count();
        });
}

} // namespace radishspread::runtime
