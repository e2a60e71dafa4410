#include <bench/rs_planned_change.hpp>

#include <bench/rs_baselines.hpp>

#include <algorithm>

namespace radishspread::bench {

namespace {

using namespace std::chrono_literals;

using fakes::deployment;
using fakes::observation_kind;
using fakes::simulation;

// All processes have read their sections, with jitter, after 2.5 s.
constexpr instant load_begin{2500ms};
constexpr instant change_begin{6s};
/// In each round, one backend server of each service is replaced.
constexpr duration round_time = 12s;
/// From the start of draining to the stop of the agent.
constexpr duration drain_time = 5s;
constexpr duration edit_interval = 5s;
/// Delay until an edit has reached the slowest process.
constexpr duration max_view_delay = 3s;
constexpr duration stop_deadline = 10s;
constexpr duration settle_time = 20s;
constexpr std::uint32_t long_flows_per_service = 6;
constexpr duration short_flow_interval = 400ms;

struct change_result {
    std::uint64_t flows = 0;
    std::uint64_t broken = 0;
    std::uint64_t unknown = 0;
    std::uint64_t over_capacity_runs = 0;
    std::array<std::uint64_t, baseline_count> baselines{};
};

/// Simulation of a deployment through its planned changes.
class change_run {
public:
    change_run(deployment const& fleet, std::uint64_t seed)
        : simulation_(fleet, seed, observer_) {
        observer_.observe(simulation_);
    }

    change_result run() {
        auto const& sizes = simulation_.fleet().backends_per_service;
        auto const rounds = *std::max_element(sizes.begin(), sizes.end());
        change_end_ = change_begin + rounds * round_time;
        simulation_.queue.at(load_begin, [this] { begin_load(); });
        schedule_backend_servers();
        schedule_balancers();
        simulation_.queue.at(change_begin, [this] { publish_edit(); });
        simulation_.run_until(change_end_ + settle_time);
        return make_result();
    }

private:
    void begin_load() {
        auto const services = simulation_.fleet().backends_per_service.size();
        for (service_id id = 1; id <= services; ++id) {
            for (std::uint32_t n = 0; n < long_flows_per_service; ++n)
                simulation_.add_caller(id, true);
            add_short_flow(id);
        }
    }

    void add_short_flow(service_id id) {
        simulation_.add_caller({.service = id, .requests = 3});
        if (simulation_.queue.now() < change_end_)
            simulation_.queue.after(
                short_flow_interval, [this, id] { add_short_flow(id); });
    }

    /// Within a round, the services replace their backend servers at evenly
    /// spaced times.
    void schedule_backend_servers() {
        auto const& sizes = simulation_.fleet().backends_per_service;
        backend_id first = 1;
        for (std::size_t service = 0; service < sizes.size(); ++service) {
            auto const offset =
                round_time * service / static_cast<std::int64_t>(sizes.size());
            for (std::uint32_t n = 0; n < sizes[service]; ++n)
                simulation_.queue.at(change_begin + n * round_time + offset,
                    [this, id = first + n] { replace_backend_server(id); });
            first += sizes[service];
        }
    }

    void schedule_balancers() {
        auto const n = simulation_.fleet().balancers;
        for (std::uint32_t i = 0; i < n; ++i)
            simulation_.queue.at(
                change_begin + (change_end_ - change_begin) * i / n, [this, i] {
                    auto const at = fakes::balancer_endpoint(i);
                    simulation_.stop(at, stop_deadline);
                    restart_when_finished(at, 0);
                });
    }

    void replace_backend_server(backend_id id) {
        simulation_.drain(id, true);
        simulation_.queue.after(drain_time, [this, id] {
            simulation_.stop(fakes::agent_endpoint(id), stop_deadline);
            restart_when_finished(fakes::agent_endpoint(id), id);
        });
    }

    /// Starts the process again once it has stopped, and ends the draining of
    /// the backend server `drained` (0: none).
    void restart_when_finished(endpoint process, backend_id drained) {
        simulation_.queue.after(500ms, [this, process, drained] {
            if (simulation_.find(process) != nullptr)
                return restart_when_finished(process, drained);
            simulation_.restart(process);
            if (drained != 0)
                simulation_.drain(drained, false);
        });
    }

    void publish_edit() {
        simulation_.max_watch_delay = max_view_delay;
        simulation_.edit_domains();
        if (simulation_.queue.now() < change_end_)
            simulation_.queue.after(edit_interval, [this] { publish_edit(); });
    }

    [[nodiscard]] change_result make_result() const {
        change_result result{.flows = observer_.established_flows()};
        for (auto const& it : simulation_.log) {
            result.broken +=
                it.what == observation_kind::flow_lost && it.flag ? 1 : 0;
            result.unknown += it.what == observation_kind::request_ended &&
                                      it.result == request_result::unknown
                                  ? 1
                                  : 0;
            result.over_capacity_runs +=
                it.what == observation_kind::over_capacity ? 1 : 0;
        }
        for (std::size_t n = 0; n < baseline_count; ++n)
            result.baselines[n] =
                observer_.broken_flows(static_cast<baseline>(n));
        return result;
    }

    baseline_observer observer_;
    simulation simulation_;
    instant change_end_;
};

deployment make_slice(bool is_quick) {
    auto result = fakes::balkonbloei();
    result.name = is_quick
                      ? "reduced slice (15 balancers, 135 backend servers, "
                        "12 services)"
                      : "slice (60 balancers, 540 backend servers, 48 "
                        "services)";
    std::size_t const scale = is_quick ? 1 : 4;
    result.balancers = static_cast<std::uint32_t>(15 * scale);
    result.backends_per_service.assign(3 * scale, 12);
    result.backends_per_service.insert(
        result.backends_per_service.end(), 9 * scale, 11);
    return result;
}

void add_figures(table& to, std::string const& name, change_result const& it) {
    auto add = [&](std::string const& what, std::uint64_t value,
                   std::optional<target> bound = std::nullopt) {
        to.figures.push_back(
            {name + ": " + what, static_cast<double>(value), "", bound});
    };
    add("flows", it.flows);
    add("broken, chosen policy", it.broken, at_most(0));
    for (std::size_t n = 0; n < baseline_count; ++n)
        add("broken, " + std::string(baseline_names[n]), it.baselines[n]);
    add("requests unknown, chosen policy", it.unknown, at_most(0));
    add("runs over slots or starting bound", it.over_capacity_runs, at_most(0));
}

} // namespace

table measure_planned_change(std::uint64_t seed, bool is_quick) {
    table result{.title = "Flows broken by planned change",
        .note = "Every balancer replaced, every backend server drained, "
                "stopped and started, edits every 5 s,\nviews up to 3 s apart. "
                "Baselines: the same packets routed with the same views."};
    auto const slice = make_slice(is_quick);
    for (auto const& it : {fakes::balkonbloei(), fakes::nashama(), slice}) {
        auto const run = std::make_unique<change_run>(it, seed);
        add_figures(result, it.name.substr(0, it.name.find(' ')), run->run());
    }
    result.note += "\nslice: " + slice.name + ".";
    return result;
}

} // namespace radishspread::bench
