#include <radishspread/runtime/rs_loop.hpp>

#include <radishspread/runtime/rs_caught_signals.hpp>

#include <unistd.h>

#include <cstdint>

namespace radishspread::runtime {

namespace {

using callback_function = std::function<void()>;

struct poll_source {
    GSource base;
    callback_function* callback;
};

gboolean prepare(GSource* source, gint* timeout) {
    *timeout = -1;
    (*reinterpret_cast<poll_source*>(source)->callback)();
    return FALSE;
}

gboolean ignore_dispatch(GSource*, GSourceFunc, gpointer) {
    return G_SOURCE_CONTINUE;
}

void finalize(GSource* source) {
    delete reinterpret_cast<poll_source*>(source)->callback;
}

GSourceFuncs functions{
    prepare, nullptr, ignore_dispatch, finalize, nullptr, nullptr};

gboolean invoke_callback(gpointer data) {
    (*static_cast<callback_function*>(data))();
    return G_SOURCE_CONTINUE;
}

void destroy_callback(gpointer data) {
    delete static_cast<callback_function*>(data);
}

GSource* attach(GSource* source, callback_function callback) {
    g_source_set_callback(source, invoke_callback,
        new callback_function(std::move(callback)), destroy_callback);
    g_source_attach(source, nullptr);
    return source;
}

} // namespace

loop::loop() : loop_(g_main_loop_new(nullptr, FALSE)) {}

loop::~loop() {
    for (auto* it : sources_) {
        g_source_destroy(it);
        g_source_unref(it);
    }
    g_main_loop_unref(loop_);
}

void loop::before_poll(std::function<void()> callback) {
    auto* source = g_source_new(&functions, sizeof(poll_source));
    reinterpret_cast<poll_source*>(source)->callback =
        new callback_function(std::move(callback));
    // GLib prepares sources in order of priority and skips the lower ones once
    // a source is ready, so this source has to come first.
    g_source_set_priority(source, G_PRIORITY_HIGH);
    g_source_attach(source, nullptr);
    sources_.push_back(source);
}

void loop::every(duration interval, std::function<void()> callback) {
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(interval);
    auto* source = g_timeout_source_new(static_cast<guint>(ms.count()));
    sources_.push_back(attach(source, std::move(callback)));
}

void loop::on_signal(int number, std::function<void()> callback) {
    catch_signal(number);
    if (signal_handlers_.empty())
        signal_watch_ = fd_watch(caught_signals_descriptor(), G_IO_IN,
            [this](GIOCondition) { deliver_signals(); });
    signal_handlers_.emplace_back(number, std::move(callback));
}

void loop::deliver_signals() {
    // Emptied first: a signal that comes later makes it readable again.
    std::uint64_t count = 0;
    static_cast<void>(
        ::read(caught_signals_descriptor(), &count, sizeof count) < 0);
    for (auto const& [number, callback] : signal_handlers_)
        if (take_signal(number))
            callback();
}

void loop::run() {
    g_main_loop_run(loop_);
}

void loop::quit() {
    g_main_loop_quit(loop_);
}

void loop::iterate() {
    g_main_context_iteration(nullptr, TRUE);
}

} // namespace radishspread::runtime
