#ifndef RADISHSPREAD_RUNTIME_RS_ONE_SHOT_TIMER_HPP
#define RADISHSPREAD_RUNTIME_RS_ONE_SHOT_TIMER_HPP

#include <radishspread/core/rs_time.hpp>

#include <glib.h>

#include <functional>

namespace radishspread::runtime {

/// Calls back once when a delay set last has passed. A process without
/// anything due does not wake.
class one_shot_timer {
public:
    explicit one_shot_timer(std::function<void()> callback);
    ~one_shot_timer();
    one_shot_timer(one_shot_timer const&) = delete;
    one_shot_timer& operator=(one_shot_timer const&) = delete;

    /// Calls back after `delay`; replaces an earlier time.
    void set(duration delay);
    void clear();

private:
    std::function<void()> callback_;
    GSource* source_ = nullptr;
};

} // namespace radishspread::runtime

#endif
