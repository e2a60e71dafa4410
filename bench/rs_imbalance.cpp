#include <bench/rs_imbalance.hpp>

#include <bench/rs_open_loop_load.hpp>
#include <bench/rs_queue_model.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>

#include <cmath>

namespace radishspread::bench {

namespace {

using namespace std::chrono_literals;
namespace acc = boost::accumulators;

using fakes::observation_kind;
using fakes::simulation;

constexpr instant load_begin{3s};
constexpr instant warm_up_end{33s};
constexpr instant sample_begin{38s};
constexpr duration sample_interval = 100ms;

struct imbalance {
    double max_over_mean = 0;
    double variation = 0;
};

struct simulation_result {
    occupancy_samples samples;
    std::uint64_t over_capacity_runs = 0;
    std::uint64_t runs = 0;
};

/// Averages the imbalance over the samples. Occupancy is the share of the slots
/// of a backend server that are occupied.
imbalance summarize(
    occupancy_samples const& samples, std::vector<std::uint32_t> const& slots) {
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> ratios;
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> variations;
    for (auto const& sample : samples) {
        acc::accumulator_set<double,
            acc::stats<acc::tag::mean, acc::tag::max, acc::tag::variance>>
            used;
        for (std::size_t i = 0; i < sample.size(); ++i)
            used(static_cast<double>(sample[i]) / slots[i]);
        double const mean = acc::mean(used);
        if (mean <= 0)
            continue;
        ratios(acc::max(used) / mean);
        variations(std::sqrt(acc::variance(used)) / mean);
    }
    return {acc::mean(ratios), acc::mean(variations)};
}

void sample_occupancy(
    simulation& sim, instant end, occupancy_samples& samples) {
    std::vector<std::uint32_t> sample;
    for (backend_id id = 1; id <= sim.fleet().backends_per_service[0]; ++id)
        if (!sim.backend(id).is_cold())
            sample.push_back(sim.backend(id).occupied());
    // All backend servers are warm after the warm-up phase. A sample with a
    // cold backend server is omitted.
    if (sample.size() == sim.fleet().backends_per_service[0])
        samples.push_back(std::move(sample));
    if (sim.queue.now() < end)
        sim.queue.after(sample_interval,
            [&sim, end, &samples] { sample_occupancy(sim, end, samples); });
}

simulation_result run_simulation(fakes::deployment const& fleet, double load,
    instant end, std::uint64_t seed) {
    simulation_result result;
    fakes::action_filter no_filter;
    simulation sim(fleet, seed, no_filter);
    open_loop_load arrivals(sim, load);
    arrivals.schedule(load_begin, warm_up_end, end);
    sim.queue.at(
        sample_begin, [&] { sample_occupancy(sim, end, result.samples); });
    sim.run_until(end);
    for (auto const& it : sim.log) {
        result.over_capacity_runs +=
            it.what == observation_kind::over_capacity ? 1 : 0;
        result.runs += it.what == observation_kind::run_started ? 1 : 0;
    }
    return result;
}

void add_case(table& to, fakes::deployment const& fleet, double load,
    instant end, std::uint64_t seed) {
    queue_model_options options{.load = load,
        .run_time = fleet.run_time,
        .begin = sample_begin - instant{},
        .end = end - instant{},
        .sample_interval = sample_interval,
        .seed = seed};
    for (backend_id id = 1; id <= fleet.backends_per_service[0]; ++id)
        options.slots.push_back(slots_of(fleet, id));
    bool const is_target =
        load > 0.6 && load < 0.8 && fleet.slot_pattern.empty();
    auto const name =
        fleet.name + " " + std::to_string(std::lround(load * 100)) + "%: ";
    auto const add = [&](char const* policy, occupancy_samples const& samples,
                         std::optional<target> bound = std::nullopt) {
        auto const it = summarize(samples, options.slots);
        to.figures.push_back(
            {name + policy + ", max/mean", it.max_over_mean, "", bound});
        to.figures.push_back(
            {name + policy + ", variation", it.variation, "", std::nullopt});
    };
    auto const simulated = run_simulation(fleet, load, end, seed);
    add("chosen policy", simulated.samples,
        is_target ? std::optional(at_most(1.15)) : std::nullopt);
    add("full knowledge", run_queue_model(options, placement::shortest_queue));
    add("modulo hash", run_queue_model(options, placement::modulo));
    add("stable hash", run_queue_model(options, placement::stable));
    to.figures.push_back({name + "runs over slots or starting bound",
        static_cast<double>(simulated.over_capacity_runs), "", at_most(0)});
}

} // namespace

table measure_imbalance(std::uint64_t seed, bool is_quick) {
    table result{.title = "Imbalance of occupied slots",
        .note =
            "7 backend servers, 60 ms runs, 5% of requests in long flows, "
            "a sample each 100 ms, occupied over slots.\n"
            "Full knowledge: a queue model with join the shortest queue. A "
            "flow "
            "table does not change where\nnew flows are sent, so the stable "
            "hash stands for both."};
    auto const end = sample_begin + (is_quick ? 10s : 60s);
    auto equal = fakes::balkonbloei();
    equal.backends_per_service = {7};
    equal.name = "7 x 7 slots";
    auto unequal = equal;
    unequal.name = "3 to 11 slots";
    unequal.slot_pattern = {3, 11, 7, 5, 9, 4, 10};
    for (auto const& fleet : {equal, unequal})
        for (double const load : {0.5, 0.7, 0.9})
            add_case(result, fleet, load, end, seed);
    return result;
}

} // namespace radishspread::bench
