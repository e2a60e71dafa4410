#ifndef RADISHSPREAD_RUNTIME_RS_LOOP_HPP
#define RADISHSPREAD_RUNTIME_RS_LOOP_HPP

#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_fd_watch.hpp>

#include <glib.h>

#include <functional>
#include <utility>
#include <vector>

namespace radishspread::runtime {

/// GLib main loop of the process, on the default context.
class loop {
public:
    loop();
    ~loop();
    loop(loop const&) = delete;
    loop& operator=(loop const&) = delete;

    /// Calls `callback` before every poll, so that everything queued in one
    /// iteration is sent in batches.
    void before_poll(std::function<void()> callback);

    /// Calls `callback` every `interval` until the loop is destroyed.
    void every(duration interval, std::function<void()> callback);

    /// Calls `callback` on each delivery of signal `number`, including one that
    /// was caught before. Signals that came together are delivered in the order
    /// of these calls.
    void on_signal(int number, std::function<void()> callback);

    void run();
    void quit();

    /// Runs one iteration; for tests.
    static void iterate();

private:
    void deliver_signals();

    GMainLoop* loop_ = nullptr;
    std::vector<GSource*> sources_;
    std::vector<std::pair<int, std::function<void()>>> signal_handlers_;
    fd_watch signal_watch_;
};

} // namespace radishspread::runtime

#endif
