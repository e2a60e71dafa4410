#ifndef RADISHSPREAD_CORE_INTERNAL_RS_VERSION_CLAIMS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_VERSION_CLAIMS_HPP

#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <cstdint>

namespace radishspread::internal {

/// Decides when a process looks for newer routes because messages name a
/// version that it does not have. The claim itself is not recorded: only what
/// the process reads changes what it does. While looks find nothing newer, they
/// become rarer, whoever sends the claims.
class version_claims {
public:
    /// True if the process, which has version `held`, should look now for the
    /// version that a message names.
    [[nodiscard]] bool needs_look(
        instant now, std::uint64_t claimed, std::uint64_t held) {
        if (claimed <= held)
            return false;
        if (held > held_at_look_ || now - next_look_at_ >= forget_time)
            fruitless_looks_ = 0;
        else if (now < next_look_at_)
            return false;
        else
            ++fruitless_looks_;
        held_at_look_ = std::max(held_at_look_, held);
        next_look_at_ =
            now + std::min(maximum_interval,
                      minimum_interval *
                          (1U << std::min(fruitless_looks_, max_doublings)));
        return true;
    }

    /// Looks in a row, before the last one, that found no newer version.
    [[nodiscard]] unsigned fruitless_looks() const { return fruitless_looks_; }

    /// Longer than a read from a process on the same network.
    static constexpr duration minimum_interval = std::chrono::milliseconds(20);
    static constexpr duration maximum_interval = std::chrono::seconds(2);
    /// Without a claim for this long, the next one is looked at at once.
    static constexpr duration forget_time = std::chrono::seconds(10);

private:
    static constexpr unsigned max_doublings = 8;

    std::uint64_t held_at_look_ = 0; ///< Newest so far.
    instant next_look_at_;
    unsigned fruitless_looks_ = 0;
};

} // namespace radishspread::internal

#endif
