#ifndef RADISHSPREAD_TESTS_FAKES_RS_EVENT_QUEUE_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_EVENT_QUEUE_HPP

#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace radishspread::fakes {

/// Event queue in virtual time. Actions run in the order of their due time, and
/// those with the same due time in the order of insertion.
class event_queue {
public:
    using action = std::function<void()>;

    [[nodiscard]] instant now() const { return now_; }

    void at(instant when, action run) {
        heap_.push_back({std::max(when, now_), next_++, std::move(run)});
        std::push_heap(heap_.begin(), heap_.end(), is_later);
    }

    void after(duration delay, action run) { at(now_ + delay, std::move(run)); }

    /// Runs all actions that are due up to and including `end`, then sets the
    /// time to `end`.
    void run_until(instant end) {
        while (!heap_.empty() && heap_.front().when <= end) {
            std::pop_heap(heap_.begin(), heap_.end(), is_later);
            entry it = std::move(heap_.back());
            heap_.pop_back();
            now_ = it.when;
            it.run();
        }
        now_ = end;
    }

private:
    struct entry {
        instant when;
        std::uint64_t order = 0;
        action run;
    };

    static bool is_later(entry const& a, entry const& b) {
        return a.when != b.when ? a.when > b.when : a.order > b.order;
    }

    std::vector<entry> heap_;
    instant now_;
    std::uint64_t next_ = 0;
};

} // namespace radishspread::fakes

#endif
