#ifndef RADISHSPREAD_RUNTIME_RS_FD_WATCH_HPP
#define RADISHSPREAD_RUNTIME_RS_FD_WATCH_HPP

#include <glib.h>

#include <functional>

namespace radishspread::runtime {

/// GLib source that calls `on_ready` for as long as a file descriptor is ready
/// (level-triggered). The callback may destroy the watch.
class fd_watch {
public:
    using callback = std::function<void(GIOCondition)>;

    fd_watch() = default;
    fd_watch(int fd, GIOCondition condition, callback on_ready);
    ~fd_watch() { reset(); }
    fd_watch(fd_watch&& other) noexcept;
    fd_watch& operator=(fd_watch&& other) noexcept;

    /// Changes the conditions to watch for.
    void set(GIOCondition condition);
    void reset();

private:
    GSource* source_ = nullptr;
    gpointer tag_ = nullptr;
    GIOCondition condition_ = GIOCondition(0);
};

} // namespace radishspread::runtime

#endif
