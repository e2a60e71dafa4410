#ifndef RADISHSPREAD_CORE_INTERNAL_RS_SOURCE_ERA_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_SOURCE_ERA_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// What a reply's era says about the reply and about earlier ones.
enum class era_finding : std::uint8_t {
    current,   ///< The era in effect.
    advanced,  ///< Higher: the service was restored; its era is in effect now.
    outdated,  ///< Lower: the reply must not be used.
    retracted, ///< Lower again: the era in effect was wrong, this one is right.
};

/// Era of the configuration service, from the replies of all its followers in
/// one process. A higher era takes effect with the first reply that names it,
/// because a watch may miss changes from then on; a wrong one is given up when
/// later calls do not confirm it.
class source_era {
public:
    [[nodiscard]] era_finding observe(
        instant now, instant call_started_at, std::uint64_t era) {
        if (era == value_ || !is_known_) {
            is_known_ = true;
            value_ = era;
            contradictions_ = 0;
            return era_finding::current;
        }
        if (era > value_) {
            set(now, era);
            return era_finding::advanced;
        }
        // The call may have been answered before the service was restored.
        if (call_started_at <= changed_at_)
            return era_finding::outdated;
        if (++contradictions_ < needed_contradictions)
            return era_finding::outdated;
        set(now, era);
        return era_finding::retracted;
    }

    [[nodiscard]] std::uint64_t value() const { return value_; }
    /// Time of the last change; default if there was none.
    [[nodiscard]] instant changed_at() const { return changed_at_; }

    /// Replies in a row, to calls made after the change, that name a lower era
    /// until it counts as the right one.
    static constexpr unsigned needed_contradictions = 2;

private:
    void set(instant now, std::uint64_t era) {
        value_ = era;
        changed_at_ = now;
        contradictions_ = 0;
    }

    std::uint64_t value_ = 0;
    bool is_known_ = false;
    instant changed_at_;
    unsigned contradictions_ = 0;
};

} // namespace radishspread::internal

#endif
