#ifndef RADISHSPREAD_CORE_INTERNAL_RS_REQUESTS_IN_PROGRESS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_REQUESTS_IN_PROGRESS_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace radishspread::internal {

/// Counts of the requests in progress at a backend server, by priority.
class requests_in_progress {
public:
    void add(std::uint8_t priority) {
        ++counts_[index_of(priority)];
        ++total_;
    }
    void remove(std::uint8_t priority) {
        --counts_[index_of(priority)];
        --total_;
    }

    [[nodiscard]] std::size_t total() const { return total_; }

    /// Requests that are at least as urgent as `priority`.
    [[nodiscard]] std::size_t count_urgent(std::uint8_t priority) const {
        auto const end = counts_.begin() + 1 +
                         static_cast<std::ptrdiff_t>(index_of(priority));
        return std::accumulate(counts_.begin(), end, std::size_t{0});
    }

private:
    /// Less urgent priorities count as the last one.
    static constexpr std::size_t priorities = 8;

    static std::size_t index_of(std::uint8_t priority) {
        return std::min<std::size_t>(priority, priorities - 1);
    }

    std::array<std::size_t, priorities> counts_{};
    std::size_t total_ = 0;
};

} // namespace radishspread::internal

#endif
