#ifndef RADISHSPREAD_BENCH_RS_OPEN_LOOP_LOAD_HPP
#define RADISHSPREAD_BENCH_RS_OPEN_LOOP_LOAD_HPP

#include <fakes/rs_simulation.hpp>

#include <optional>
#include <unordered_map>

namespace radishspread::bench {

/// Open-loop load on the first service of a simulation: the arrival rate does
/// not depend on responses. 95% of the requests are in flows of one request, 5%
/// in long flows that remain open.
class open_loop_load {
public:
    /// `load` is the arrival rate relative to the capacity of the service.
    open_loop_load(fakes::simulation& sim, double load);

    /// Schedules arrivals from `begin` to `end`. Before `warm_up_end` the load
    /// is at most 40%, at which the backend servers warm up without queues.
    void schedule(instant begin, instant warm_up_end, instant end);

    /// Requests per second that the backend servers of the service can run,
    /// except those of the failure domain `excluded` (0: none).
    [[nodiscard]] double capacity(domain_id excluded = 0) const;
    /// Arrival rate after the warm-up, in requests per second.
    [[nodiscard]] double rate() const { return rate_; }
    /// Time at which a flow of one request was opened; unset for other flows.
    [[nodiscard]] std::optional<instant> opened_at(std::uint32_t flow) const;

private:
    void arrive();
    void add_long_flows();

    fakes::simulation& simulation_;
    std::mt19937_64 random_;
    double rate_;
    instant warm_up_end_;
    instant load_end_;
    std::unordered_map<std::uint32_t, instant> opened_;
};

} // namespace radishspread::bench

#endif
