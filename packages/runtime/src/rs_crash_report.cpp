#include <radishspread/runtime/rs_crash_report.hpp>

#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/runtime/rs_clock.hpp>

#include <glib.h>

#include <signal.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstddef>
#include <exception>
#include <mutex>
#include <span>
#include <utility>

namespace radishspread::runtime {

namespace {

constexpr std::array<int, 6> fatal_signals{
    SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT, SIGTRAP};

/// Text of limited size in place, for code that must not allocate.
template <std::size_t Capacity> class fixed_text {
public:
    void add(std::string_view text) {
        auto const n = std::min(text.size(), Capacity - size_);
        std::copy_n(text.data(), n, data_.data() + size_);
        size_ += n;
    }
    void add(std::int64_t value) {
        auto const [end, ec] =
            std::to_chars(data_.data() + size_, data_.data() + Capacity, value);
        if (ec == std::errc{})
            size_ = static_cast<std::size_t>(end - data_.data());
    }
    /// Adds a JSON string; characters that need an escape become '?'.
    void add_string(std::string_view text) {
        add("\"");
        for (char const c : text) {
            bool const is_plain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
            add(is_plain ? std::string_view(&c, 1) : "?");
        }
        add("\"");
    }
    [[nodiscard]] std::string_view view() const {
        return {data_.data(), size_};
    }

private:
    std::array<char, Capacity> data_{};
    std::size_t size_ = 0;
};

constexpr std::size_t max_name = 128;
constexpr std::size_t max_cause = 512;

fixed_text<max_name> process_name;
std::atomic_flag is_written = ATOMIC_FLAG_INIT;

/// Stack of the handlers, so that a stack overflow leaves a line too.
alignas(16) std::array<std::byte, 64U << 10U> handler_stack;

/// Messages of libraries that wait for the event loop; they may come from any
/// thread.
constexpr std::size_t max_messages = 64;
std::mutex messages_mutex;
std::vector<std::string> messages;

void write_line(std::string_view line) noexcept {
    // A pipe that is full takes nothing; standard error may.
    if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
        static_cast<void>(::write(STDERR_FILENO, line.data(), line.size()) < 0);
}

std::string_view name_of_signal(int number) {
    switch (number) {
    case SIGSEGV:
        return "fatal signal SIGSEGV";
    case SIGBUS:
        return "fatal signal SIGBUS";
    case SIGILL:
        return "fatal signal SIGILL";
    case SIGFPE:
        return "fatal signal SIGFPE";
    case SIGABRT:
        return "fatal signal SIGABRT";
    default:
        return "fatal signal SIGTRAP";
    }
}

// A library that cannot allocate may end by any signal: the message of GLib
// about it allocates again, and so on until the stack is used up.
bool can_allocate() noexcept {
    constexpr std::size_t size = 64U << 10U;
    auto* const found = ::mmap(nullptr, size, PROT_READ | PROT_WRITE,
        MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (found == MAP_FAILED)
        return false;
    ::munmap(found, size);
    return true;
}

// SA_RESETHAND has restored the default action; the signal is blocked until the
// return, so the process then ends by it, with the true status.
void handle_fatal_signal(int number) {
    fixed_text<max_cause> cause;
    cause.add(name_of_signal(number));
    if (!can_allocate())
        cause.add(" while allocations fail");
    write_crash_report(cause.view(), number);
    static_cast<void>(::raise(number));
}

[[noreturn]] void handle_terminate() {
    try {
        if (auto const error = std::current_exception())
            std::rethrow_exception(error);
        write_crash_report("std::terminate without an exception", SIGABRT);
    } catch (std::exception const& error) {
        write_crash_report(error.what(), SIGABRT);
    } catch (...) {
        write_crash_report("exception of an unknown type", SIGABRT);
    }
    std::abort();
}

// GLib blocks all signals while it creates its thread. Its trap would then stay
// pending, and GLib loops after it.
void allow_trap() {
    sigset_t numbers;
    sigemptyset(&numbers);
    sigaddset(&numbers, SIGTRAP);
    pthread_sigmask(SIG_UNBLOCK, &numbers, nullptr);
}

std::string_view find_field(
    std::span<GLogField const> fields, std::string_view key) {
    for (auto const& it : fields) {
        if (it.key != key || it.value == nullptr)
            continue;
        auto const* text = static_cast<char const*>(it.value);
        return it.length < 0 ? std::string_view(text)
                             : std::string_view(
                                   text, static_cast<std::size_t>(it.length));
    }
    return {};
}

void keep_message(std::string_view domain, std::string_view text) {
    std::scoped_lock const lock(messages_mutex);
    if (messages.size() == max_messages)
        return; // Those kept are the first ones, which tell the cause.
    messages.push_back(std::string(domain) + ": " + std::string(text));
}

GLogWriterOutput handle_library_message(
    GLogLevelFlags level, GLogField const* fields, gsize count, gpointer) {
    std::span const all(fields, count);
    auto const domain = find_field(all, "GLIB_DOMAIN");
    auto const text = find_field(all, "MESSAGE");
    // GLib ends the process after a message of this level.
    if ((level & G_LOG_LEVEL_ERROR) != 0) {
        fixed_text<max_cause> cause;
        cause.add(domain);
        cause.add(": ");
        cause.add(text);
        write_crash_report(cause.view(), SIGTRAP);
        allow_trap();
        return G_LOG_WRITER_HANDLED;
    }
    if ((level & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING)) == 0)
        return G_LOG_WRITER_HANDLED;
    try {
        keep_message(domain, text);
    } catch (std::exception const&) {
        return g_log_writer_standard_streams(level, fields, count, nullptr);
    }
    return G_LOG_WRITER_HANDLED;
}

} // namespace

void install_crash_handlers() {
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action {};
    action.sa_handler = handle_fatal_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    sigemptyset(&action.sa_mask);
    for (int const number : fatal_signals)
        sigaction(number, &action, nullptr);
    std::set_terminate(handle_terminate);
    g_log_set_writer_func(handle_library_message, nullptr, nullptr);
}

void name_crash_reports(std::string_view process) {
    process_name = {};
    process_name.add(process);
}

void write_crash_report(std::string_view cause, int status) noexcept {
    if (is_written.test_and_set())
        return;
    constexpr std::int64_t nanoseconds_per_ms = 1'000'000;
    constexpr auto event = packet_event::crash_report;
    fixed_text<max_name + max_cause + 512> line;
    if (output_has_partial_line)
        line.add("\n");
    line.add("{\"time_ms\":");
    line.add(
        static_cast<std::int64_t>(wall_nanoseconds()) / nanoseconds_per_ms);
    line.add(",\"uptime_us\":");
    line.add(monotonic_now().time_since_epoch().count());
    line.add(",\"process\":");
    line.add_string(process_name.view());
    line.add(",\"severity\":\"error\",\"event\":");
    line.add(event);
    line.add(",\"text\":");
    line.add_string(packet_events[packet_event_index(event)].text);
    line.add(",\"item\":");
    line.add_string(cause.substr(0, max_cause));
    line.add(",\"value\":");
    line.add(status);
    line.add("}\n");
    write_line(line.view());
}

std::vector<std::string> take_library_messages() {
    std::scoped_lock const lock(messages_mutex);
    return std::exchange(messages, {});
}

} // namespace radishspread::runtime
