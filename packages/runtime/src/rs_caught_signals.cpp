#include <radishspread/runtime/rs_caught_signals.hpp>

#include <radishspread/runtime/rs_crash_report.hpp>

#include <signal.h>
#include <sys/eventfd.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace radishspread::runtime {

namespace {

using std::chrono::milliseconds;

// A handler needs no thread, unlike the signal sources of GLib, and runs before
// there is an event loop.
constexpr std::size_t signal_count = 32;
std::array<std::atomic<bool>, signal_count> caught{};
std::atomic<int> descriptor{-1};
static_assert(std::atomic<bool>::is_always_lock_free &&
              std::atomic<int>::is_always_lock_free);

/// Time to the end after a stop signal, in ms; 0: unlimited.
std::atomic<std::int32_t> stop_bound_ms{0};
std::atomic<int> stop_status{0};
std::atomic<bool> has_stop_timer{false};
static_assert(std::atomic<std::int32_t>::is_always_lock_free);

// An interval timer of the process runs while the event loop does not, and
// takes neither a thread nor a descriptor.
void start_stop_timer() {
    auto const ms = stop_bound_ms.load();
    itimerval timer{};
    timer.it_value.tv_sec = ms / 1000;
    timer.it_value.tv_usec = ms % 1000 * 1000L;
    itimerval running{};
    getitimer(ITIMER_REAL, &running);
    // The first of several stop signals sets the deadline.
    if (!timerisset(&running.it_value))
        setitimer(ITIMER_REAL, &timer, nullptr);
    has_stop_timer = true;
}

void handle_stop_deadline(int) {
    // Another process may send the signal too; the timer still runs then.
    itimerval running{};
    getitimer(ITIMER_REAL, &running);
    if (!has_stop_timer || timerisset(&running.it_value))
        return;
    write_crash_report("stop took longer than its deadline", stop_status);
    _exit(stop_status);
}

void handle_signal(int number) {
    int const saved = errno;
    if (number != SIGHUP && stop_bound_ms > 0)
        start_stop_timer();
    caught[static_cast<std::size_t>(number)] = true;
    std::uint64_t const one = 1;
    // A full counter is readable already.
    if (descriptor >= 0)
        static_cast<void>(::write(descriptor, &one, sizeof one) < 0);
    errno = saved;
}

} // namespace

void catch_signal(int number) {
    if (descriptor < 0)
        descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    struct sigaction action {};
    action.sa_handler = handle_signal;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    sigaction(number, &action, nullptr);
    sigset_t numbers;
    sigemptyset(&numbers);
    sigaddset(&numbers, number);
    pthread_sigmask(SIG_UNBLOCK, &numbers, nullptr);
}

void limit_stop(duration bound, int status) {
    stop_status = status;
    stop_bound_ms = static_cast<std::int32_t>(bound / milliseconds(1));
    struct sigaction action {};
    action.sa_handler = handle_stop_deadline;
    sigemptyset(&action.sa_mask);
    sigaction(SIGALRM, &action, nullptr);
    sigset_t numbers;
    sigemptyset(&numbers);
    sigaddset(&numbers, SIGALRM);
    pthread_sigmask(SIG_UNBLOCK, &numbers, nullptr);
    // A stop signal that came before had no deadline yet.
    if (caught[SIGTERM] || caught[SIGINT])
        start_stop_timer();
}

void ignore_write_signals() {
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);
}

int caught_signals_descriptor() {
    return descriptor;
}

bool take_signal(int number) {
    return caught[static_cast<std::size_t>(number)].exchange(false);
}

} // namespace radishspread::runtime
