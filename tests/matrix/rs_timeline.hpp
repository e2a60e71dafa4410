#ifndef RADISHSPREAD_TESTS_MATRIX_RS_TIMELINE_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_TIMELINE_HPP

#include <fakes/rs_deployment.hpp>
#include <fakes/rs_observation.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishspread::matrix {

/// Time during which a condition held; `end` is unset while it still holds.
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

/// The faults and changes that were injected in one case, indexed by what they
/// affect.
class timeline {
public:
    explicit timeline(fakes::observations const& log);

    std::map<domain_id, std::vector<interval>> out; ///< Failure domain out.
    std::map<endpoint, std::vector<interval>> paused;
    std::map<endpoint, std::vector<interval>> partitioned;
    std::map<endpoint, std::vector<instant>> killed;
    std::map<backend_id, std::vector<instant>> cold;       ///< Without notice.
    std::map<backend_id, std::vector<instant>> cold_again; ///< During warm-up.
    std::map<backend_id, instant> leaving;                 ///< First time.
    std::vector<interval> impaired; ///< Configuration service impaired.
    bool has_unplanned_fault = false;

    /// Earliest time, not before `from`, at which `process` can receive a
    /// change of the configuration: the configuration service is healthy, and
    /// the process is neither paused nor partitioned. Unset if there is none.
    [[nodiscard]] std::optional<instant> earliest_update_at(
        instant from, endpoint process) const;

private:
    void add(fakes::observation const& it);
};

} // namespace radishspread::matrix

#endif
