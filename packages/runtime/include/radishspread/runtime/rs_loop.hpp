#ifndef RADISHSPREAD_RUNTIME_RS_LOOP_HPP
#define RADISHSPREAD_RUNTIME_RS_LOOP_HPP

#include <radishspread/core/rs_time.hpp>

#include <glib.h>

#include <functional>
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

    /// Calls `callback` on each delivery of signal `number`.
    void on_signal(int number, std::function<void()> callback);

    void run();
    void quit();

    /// Runs one iteration; for tests.
    static void iterate();

private:
    GMainLoop* loop_ = nullptr;
    std::vector<GSource*> sources_;
};

} // namespace radishspread::runtime

#endif
