#include <radishspread/runtime/rs_fd_watch.hpp>

#include <new>
#include <utility>

namespace radishspread::runtime {

namespace {

struct watch_source {
    GSource base;
    gpointer tag;
    fd_watch::callback* on_ready;
};

gboolean dispatch(GSource* source, GSourceFunc, gpointer) {
    auto* it = reinterpret_cast<watch_source*>(source);
    auto const ready = g_source_query_unix_fd(source, it->tag);
    if (ready != 0)
        (*it->on_ready)(ready);
    return G_SOURCE_CONTINUE;
}

void finalize(GSource* source) {
    delete reinterpret_cast<watch_source*>(source)->on_ready;
}

GSourceFuncs functions{nullptr, nullptr, dispatch, finalize, nullptr, nullptr};

} // namespace

fd_watch::fd_watch(int fd, GIOCondition condition, callback on_ready)
    : source_(g_source_new(&functions, sizeof(watch_source))),
      condition_(condition) {
    auto* it = reinterpret_cast<watch_source*>(source_);
    it->on_ready = new callback(std::move(on_ready));
    tag_ = g_source_add_unix_fd(source_, fd, condition);
    it->tag = tag_;
    g_source_attach(source_, nullptr);
}

fd_watch::fd_watch(fd_watch&& other) noexcept
    : source_(std::exchange(other.source_, nullptr)),
      tag_(std::exchange(other.tag_, nullptr)), condition_(other.condition_) {}

fd_watch& fd_watch::operator=(fd_watch&& other) noexcept {
    std::swap(source_, other.source_);
    std::swap(tag_, other.tag_);
    std::swap(condition_, other.condition_);
    return *this;
}

void fd_watch::set(GIOCondition condition) {
    if (source_ == nullptr || condition == condition_)
        return;
    condition_ = condition;
    g_source_modify_unix_fd(source_, tag_, condition);
}

void fd_watch::reset() {
    if (source_ == nullptr)
        return;
    g_source_destroy(source_);
    g_source_unref(source_);
    source_ = nullptr;
}

} // namespace radishspread::runtime
