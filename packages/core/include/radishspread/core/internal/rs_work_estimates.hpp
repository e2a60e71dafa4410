#ifndef RADISHSPREAD_CORE_INTERNAL_RS_WORK_ESTIMATES_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_WORK_ESTIMATES_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <map>

namespace radishspread::internal {

/// Mean time for which a request of each route occupies a slot, learned from
/// responses. Routes without responses, and those beyond `max_routes`, have the
/// mean of all requests.
class work_estimates {
public:
    /// Records the time from the start of a request to its response.
    void record(endpoint route, duration work) {
        update(mean_, work);
        auto const found = by_route_.find(route);
        if (found != by_route_.end())
            update(found->second, work);
        else if (by_route_.size() < max_routes)
            by_route_.emplace(route, work);
    }

    [[nodiscard]] duration of(endpoint route) const {
        auto const found = by_route_.find(route);
        return found == by_route_.end() ? mean_ : found->second;
    }

    [[nodiscard]] duration mean() const { return mean_; }

    /// A backend server serves few routes; others name flows of a route that it
    /// no longer has.
    static constexpr std::size_t max_routes = 64;
    /// Assumed until the first response.
    static constexpr duration initial = std::chrono::milliseconds(50);

private:
    static void update(duration& mean, duration sample) {
        constexpr int divisor = 16; // Inverse weight of a new sample.
        mean += (sample - mean) / divisor;
    }

    std::map<endpoint, duration> by_route_;
    duration mean_ = initial;
};

} // namespace radishspread::internal

#endif
