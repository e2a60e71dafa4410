#include <standins/rs_loop.hpp>

#include <memory>
#include <utility>

namespace radishspread::standins {

namespace {

struct callback {
    std::function<void()> action;
    bool repeats = true;
};

// Calls a copy, because the action may remove its own source and so destroy
// the original.
gboolean on_timer(gpointer data) {
    auto const it = *static_cast<callback*>(data);
    it.action();
    return it.repeats ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void destroy(gpointer data) {
    std::unique_ptr<callback> const owned(static_cast<callback*>(data));
}

guint milliseconds(duration value) {
    return static_cast<guint>(
        std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

source_handle add_timer(duration delay, callback it) {
    auto owned = std::make_unique<callback>(std::move(it));
    return source_handle(g_timeout_add_full(G_PRIORITY_DEFAULT,
        milliseconds(delay), on_timer, owned.release(), destroy));
}

} // namespace

source_handle::source_handle(source_handle&& other) noexcept
    : id_(std::exchange(other.id_, 0)) {}

source_handle& source_handle::operator=(source_handle&& other) noexcept {
    std::swap(id_, other.id_);
    return *this;
}

void source_handle::reset() {
    auto const id = std::exchange(id_, 0);
    if (id == 0)
        return;
    // A one-shot source no longer exists after its call.
    auto* const source = g_main_context_find_source_by_id(nullptr, id);
    if (source != nullptr)
        g_source_destroy(source);
}

source_handle call_every(duration interval, std::function<void()> action) {
    return add_timer(interval, {std::move(action), true});
}

source_handle call_after(duration delay, std::function<void()> action) {
    return add_timer(delay, {std::move(action), false});
}

bool run_until(std::function<bool()> const& done, duration timeout) {
    auto const end = monotonic_now() + timeout;
    // Wakes the loop regularly, so that the condition and the timeout are
    // checked even without other events.
    auto const wake = call_every(std::chrono::milliseconds(10), [] {});
    while (!done()) {
        if (monotonic_now() >= end)
            return false;
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

void run_for(duration length) {
    run_until([] { return false; }, length);
}

} // namespace radishspread::standins
