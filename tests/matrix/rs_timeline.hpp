#ifndef RADISHSPREAD_TESTS_MATRIX_RS_TIMELINE_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_TIMELINE_HPP

#include <fakes/rs_deployment.hpp>
#include <fakes/rs_observation.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishspread::matrix {

/// Time during which something held; `end` is unset while it still holds.
struct interval {
    instant begin;
    std::optional<instant> end;

    [[nodiscard]] bool contains(instant it) const {
        return begin <= it && (!end || it < *end);
    }
    [[nodiscard]] bool overlaps(instant from, instant to) const {
        return begin <= to && (!end || from <= *end);
    }
};

/// The injected facts of one case, arranged for lookup.
class timeline {
public:
    explicit timeline(fakes::observations const& log);

    std::map<domain_id, std::vector<interval>> out;
    std::map<endpoint, std::vector<interval>> paused;
    std::map<endpoint, std::vector<interval>> partitioned;
    std::map<endpoint, std::vector<instant>> killed;
    std::map<backend_id, std::vector<instant>> cold;
    std::map<backend_id, std::vector<instant>> cold_again; ///< While starting.
    std::map<backend_id, instant> leaving;
    std::vector<interval> impaired;
    bool has_unplanned_fault = false;

    /// First time from `from` on at which the configuration service is healthy
    /// and `process` reachable; unset if there is none.
    [[nodiscard]] std::optional<instant> earliest_update_at(
        instant from, endpoint process) const;

private:
    void add(fakes::observation const& it);
};

} // namespace radishspread::matrix

#endif
