#ifndef RADISHSPREAD_RUNTIME_RS_ONE_SHOT_TIMER_HPP
#define RADISHSPREAD_RUNTIME_RS_ONE_SHOT_TIMER_HPP

#include <radishspread/core/rs_time.hpp>

#include <glib.h>

#include <functional>

namespace radishspread::runtime {

/// Calls `callback` once after the most recently set delay. A timer that is not
/// set does not wake the process.
class one_shot_timer {
public:
    explicit one_shot_timer(std::function<void()> callback);
    ~one_shot_timer();
    one_shot_timer(one_shot_timer const&) = delete;
    one_shot_timer& operator=(one_shot_timer const&) = delete;

    /// Starts the timer; replaces a time set earlier. A `delay` below 0 counts
    /// as 0.
    void set(duration delay);
    /// Stops the timer.
    void clear();

private:
    std::function<void()> callback_;
    GSource* source_ = nullptr;
};

} // namespace radishspread::runtime

#endif
