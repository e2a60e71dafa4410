#ifndef RADISHSPREAD_RUNTIME_RS_READY_TIMER_HPP
#define RADISHSPREAD_RUNTIME_RS_READY_TIMER_HPP

#include <radishspread/core/rs_time.hpp>

#include <glib.h>

#include <functional>

namespace radishspread::runtime {

/// Calls back once when a delay set last has passed. A process without
/// anything due does not wake.
class ready_timer {
public:
    explicit ready_timer(std::function<void()> call);
    ~ready_timer();
    ready_timer(ready_timer const&) = delete;
    ready_timer& operator=(ready_timer const&) = delete;

    /// Calls back after `delay`; replaces an earlier time.
    void set(duration delay);
    void clear();

private:
    std::function<void()> call_;
    GSource* source_ = nullptr;
};

} // namespace radishspread::runtime

#endif
