#include <radishspread/runtime/rs_one_shot_timer.hpp>

#include <algorithm>

namespace radishspread::runtime {

namespace {

gboolean dispatch(GSource* source, GSourceFunc callback, gpointer data) {
    g_source_set_ready_time(source, -1);
    return callback(data);
}

GSourceFuncs functions{nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};

gboolean invoke_callback(gpointer data) {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_CONTINUE;
}

} // namespace

one_shot_timer::one_shot_timer(std::function<void()> callback)
    : callback_(std::move(callback)),
      source_(g_source_new(&functions, sizeof(GSource))) {
    g_source_set_callback(source_, invoke_callback, &callback_, nullptr);
    g_source_attach(source_, nullptr);
}

one_shot_timer::~one_shot_timer() {
    g_source_destroy(source_);
    g_source_unref(source_);
}

void one_shot_timer::set(duration delay) {
    auto const n = std::max<duration::rep>(delay.count(), 0);
    g_source_set_ready_time(source_, g_get_monotonic_time() + n);
}

void one_shot_timer::clear() {
    g_source_set_ready_time(source_, -1);
}

} // namespace radishspread::runtime
