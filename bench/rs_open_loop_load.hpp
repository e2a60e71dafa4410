#ifndef RADISHSPREAD_BENCH_RS_OPEN_LOOP_LOAD_HPP
#define RADISHSPREAD_BENCH_RS_OPEN_LOOP_LOAD_HPP

#include <fakes/rs_world.hpp>

#include <optional>
#include <unordered_map>

namespace radishspread::bench {

/// Arrivals at the first service of a world: flows of one request, and 5% of
/// the requests in flows that stay. The rate does not depend on responses.
class open_loop_load {
public:
    /// `load` is the share of the slots of the first service.
    open_loop_load(fakes::world& simulation, double load);

    /// Arrivals from `begin` to `end`; before `warm` at 40% load, at which
    /// the backend servers warm up without queues.
    void schedule(instant begin, instant warm_up_end, instant end);

    /// Requests per second that the backend servers of the service can run in
    /// total, or without those of a failure domain.
    [[nodiscard]] double capacity(domain_id excluded = 0) const;
    /// Requests per second that arrive after the warm-up.
    [[nodiscard]] double rate() const { return rate_; }
    /// When the short flow was opened; unset for other flows.
    [[nodiscard]] std::optional<instant> opened_at(std::uint32_t flow) const;

private:
    void arrive();
    void add_long_flows();

    fakes::world& world_;
    std::mt19937_64 random_;
    double rate_;
    instant warm_up_end_;
    instant load_end_;
    std::unordered_map<std::uint32_t, instant> opened_;
};

} // namespace radishspread::bench

#endif
