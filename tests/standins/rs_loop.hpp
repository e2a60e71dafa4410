#ifndef RADISHSPREAD_TESTS_STANDINS_RS_LOOP_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_LOOP_HPP

#include <radishspread/runtime/rs_clock.hpp>

#include <glib.h>

#include <functional>

namespace radishspread::standins {

using runtime::monotonic_now;

/// Owns an event source of the default GLib main context. The destructor
/// removes the source.
class source_handle {
public:
    source_handle() = default;
    explicit source_handle(guint id) : id_(id) {}
    source_handle(source_handle&& other) noexcept;
    source_handle& operator=(source_handle&& other) noexcept;
    ~source_handle() { reset(); }

    void reset();

private:
    guint id_ = 0;
};

/// Calls `action` every `interval` (1 ms or more) until the handle is reset.
[[nodiscard]] source_handle call_every(
    duration interval, std::function<void()> action);

/// Calls `action` once after `delay`. The action may destroy the handle.
[[nodiscard]] source_handle call_after(
    duration delay, std::function<void()> action);

/// Runs the event loop until `done` returns true. Returns false if `timeout`
/// expires first.
bool run_until(std::function<bool()> const& done, duration timeout);

/// Runs the event loop for `length`.
void run_for(duration length);

} // namespace radishspread::standins

#endif
