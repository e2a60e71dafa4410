#include <bench/rs_open_load.hpp>

namespace radishspread::bench {

using namespace std::chrono_literals;

namespace {

constexpr double long_share = 0.05;
constexpr duration long_pause = 1s; ///< Between requests of a long flow.
constexpr double warm_up_load = 0.4;
constexpr double units_per_second = static_cast<double>(duration(1s).count());

} // namespace

open_load::open_load(fakes::simulation& in, double load)
    : world_(in), random_(in.random()()), rate_(load * capacity()) {}

double open_load::capacity(domain_id without) const {
    auto const& fleet = world_.fleet();
    std::uint32_t slots = 0;
    for (backend_id id = 1; id <= fleet.backends_per_service[0]; ++id)
        if (world_.domain_of(fakes::agent_endpoint(id)) != without)
            slots += fakes::slots_of(fleet, id);
    return slots * units_per_second /
           static_cast<double>(fleet.run_time.count());
}

void open_load::plan(instant begin, instant warm, instant end) {
    warm_ = warm;
    end_ = end;
    world_.queue.at(begin, [this] { arrive(); });
    world_.queue.at(warm, [this] { add_long_flows(); });
}

std::optional<instant> open_load::opened_at(std::uint32_t flow) const {
    auto const it = opened_.find(flow);
    return it == opened_.end() ? std::nullopt : std::optional(it->second);
}

void open_load::add_long_flows() {
    auto const n = static_cast<int>(rate_ * long_share);
    for (int i = 0; i < n; ++i)
        world_.queue.after(long_pause * i / n, [this] {
            world_.add_caller({.service = 1,
                .is_long = true,
                .pause = long_pause,
                .continues_on_reply = true,
                .retries = false});
        });
}

void open_load::arrive() {
    auto const now = world_.queue.now();
    if (now >= end_)
        return;
    double const rate = now < warm_ ? std::min(warm_up_load * capacity(), rate_)
                                    : rate_ * (1 - long_share);
    std::exponential_distribution<double> gap(rate / units_per_second);
    auto const& caller = world_.add_caller(
        {.service = 1, .continues_on_reply = true, .retries = false});
    opened_[caller.flow()] = now;
    world_.queue.after(duration(static_cast<duration::rep>(gap(random_))),
        [this] { arrive(); });
}

} // namespace radishspread::bench
