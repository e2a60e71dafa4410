#include <radishspread/runtime/rs_caught_signals.hpp>

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstddef>
#include <cstdint>

namespace radishspread::runtime {

namespace {

// A handler needs no thread, unlike the signal sources of GLib, and runs before
// there is an event loop.
constexpr std::size_t signal_count = 32;
std::array<std::atomic<bool>, signal_count> caught{};
std::atomic<int> descriptor{-1};
static_assert(std::atomic<bool>::is_always_lock_free &&
              std::atomic<int>::is_always_lock_free);

void handle_signal(int number) {
    int const saved = errno;
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
