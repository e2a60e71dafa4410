#include <bench/rs_open_loop_load.hpp>

namespace radishspread::bench {

using namespace std::chrono_literals;

namespace {

constexpr double long_share = 0.05;
constexpr duration long_pause = 1s; ///< Between requests of a long flow.
constexpr double warm_up_load = 0.4;
constexpr double units_per_second = static_cast<double>(duration(1s).count());

} // namespace

open_loop_load::open_loop_load(fakes::simulation& sim, double load)
    : simulation_(sim), random_(sim.random()()), rate_(load * capacity()) {}

double open_loop_load::capacity(domain_id excluded) const {
    auto const& fleet = simulation_.fleet();
    std::uint32_t slots = 0;
    for (backend_id id = 1; id <= fleet.backends_per_service[0]; ++id)
        if (simulation_.domain_of(fakes::agent_endpoint(id)) != excluded)
            slots += fakes::slots_of(fleet, id);
    return slots * units_per_second /
           static_cast<double>(fleet.run_time.count());
}

void open_loop_load::schedule(instant begin, instant warm_up_end, instant end) {
    warm_up_end_ = warm_up_end;
    load_end_ = end;
    simulation_.queue.at(begin, [this] { arrive(); });
    simulation_.queue.at(warm_up_end, [this] { add_long_flows(); });
}

std::optional<instant> open_loop_load::opened_at(std::uint32_t flow) const {
    auto const it = opened_.find(flow);
    return it == opened_.end() ? std::nullopt : std::optional(it->second);
}

void open_loop_load::add_long_flows() {
    auto const n = static_cast<int>(rate_ * long_share);
    for (int i = 0; i < n; ++i)
        simulation_.queue.after(long_pause * i / n, [this] {
            simulation_.add_caller({.service = 1,
                .is_long = true,
                .pause = long_pause,
                .continues_on_reply = true,
                .retries = false});
        });
}

void open_loop_load::arrive() {
    auto const now = simulation_.queue.now();
    if (now >= load_end_)
        return;
    double const rate = now < warm_up_end_
                            ? std::min(warm_up_load * capacity(), rate_)
                            : rate_ * (1 - long_share);
    std::exponential_distribution<double> interarrival(rate / units_per_second);
    auto const& caller = simulation_.add_caller(
        {.service = 1, .continues_on_reply = true, .retries = false});
    opened_[caller.flow()] = now;
    simulation_.queue.after(
        duration(static_cast<duration::rep>(interarrival(random_))),
        [this] { arrive(); });
}

} // namespace radishspread::bench
