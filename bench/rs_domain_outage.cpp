#include <bench/rs_domain_outage.hpp>

#include <bench/rs_open_loop_load.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>

namespace radishspread::bench {

namespace {

using namespace std::chrono_literals;
namespace acc = boost::accumulators;

using fakes::observation;
using fakes::observation_kind;
using fakes::simulation;

constexpr instant load_begin{4s};
constexpr instant warm_up_end{34s};
constexpr instant series_begin{40s};
constexpr std::size_t outage_begin_second = 10; ///< In seconds of the series.
constexpr std::size_t outage_end_second = 30;
constexpr std::size_t seconds = 70;
constexpr domain_id domain = 2; ///< Contains 2 of the 7 backend servers.
/// A response after a longer time counts as late; the backend server itself
/// takes 60 ms on average.
constexpr duration late_threshold = 1s;
/// Length of the sliding window for means of the goodput, in seconds.
constexpr std::size_t mean_window = 5;

enum line : std::uint8_t { answered, refused, unknown, late, line_count };
constexpr std::array<char const*, line_count> line_names{
    "answered", "refused, not run", "unknown", "late"};

double to_ms(duration it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

/// Simulation of a domain outage under a given load. With `is_half_stale`, half
/// of the processes receive sections only through peers.
class outage_run {
public:
    outage_run(double load, bool is_half_stale, std::uint64_t seed)
        : simulation_(make_fleet(), seed, no_filter_), load_(simulation_, load),
          is_half_stale_(is_half_stale) {
        for (std::size_t n = 0; n < line_count; ++n)
            lines_.push_back({line_names[n], std::vector<double>(seconds)});
    }

    void run() {
        auto const end = series_begin + std::chrono::seconds(seconds);
        load_.schedule(load_begin, warm_up_end, end);
        if (is_half_stale_)
            simulation_.queue.at(
                load_begin - 500ms, [this] { make_half_stale(); });
        simulation_.queue.at(
            series_begin + std::chrono::seconds(outage_begin_second),
            [this] { simulation_.set_domain(domain, true); });
        simulation_.queue.at(
            series_begin + std::chrono::seconds(outage_end_second),
            [this] { simulation_.set_domain(domain, false); });
        simulation_.run_until(end + 1s);
        for (auto const& it : simulation_.log)
            add(it);
    }

    [[nodiscard]] std::vector<series> const& lines() const { return lines_; }
    [[nodiscard]] double last_packet_ms() const { return last_packet_ms_; }
    [[nodiscard]] double refusal_max_ms() const {
        return acc::max(refusal_times_);
    }
    [[nodiscard]] double refusal_mean_ms() const {
        return acc::mean(refusal_times_);
    }
    [[nodiscard]] std::uint64_t over_capacity_runs() const {
        return over_capacity_runs_;
    }

    /// Requests per second of the arrivals that the backend servers in service
    /// can run.
    [[nodiscard]] double expected_goodput(bool is_out) const {
        return std::min(load_.rate(), load_.capacity(is_out ? domain : 0));
    }

    /// Smallest mean goodput of any `mean_window` seconds within [from, to).
    [[nodiscard]] double min_mean_goodput(
        std::size_t from, std::size_t to) const {
        acc::accumulator_set<double, acc::stats<acc::tag::min>> means;
        for (auto at = from; at + mean_window <= to; ++at)
            means(mean(at));
        return acc::min(means);
    }

    /// Seconds from the end of the outage until the mean goodput reaches
    /// `share` of the expected goodput; unset if it does not.
    [[nodiscard]] std::optional<double> recovery_time(double share) const {
        for (auto at = outage_end_second; at + mean_window <= seconds; ++at)
            if (mean(at) >= share * expected_goodput(false))
                return static_cast<double>(at - outage_end_second);
        return std::nullopt;
    }

private:
    static fakes::deployment make_fleet() {
        auto result = fakes::balkonbloei();
        result.backends_per_service = {7};
        return result;
    }

    [[nodiscard]] double mean(std::size_t from) const {
        acc::accumulator_set<double, acc::stats<acc::tag::mean>> all;
        for (auto at = from; at < from + mean_window; ++at)
            all(lines_[answered].values[at] + lines_[late].values[at]);
        return acc::mean(all);
    }

    void make_half_stale() {
        bool is_stale = false;
        for (bool const balancers : {true, false})
            for (auto const at : simulation_.endpoints(balancers)) {
                is_stale = !is_stale;
                if (is_stale)
                    simulation_.find(at)->set_watch_delay(1h);
            }
        // The delay applies only to new watches; a change completes the pending
        // ones.
        simulation_.configuration.publish("hosts/domain-1", hosts_section{});
    }

    void count(instant at, line which) {
        if (at < series_begin)
            return;
        auto const second = static_cast<std::size_t>((at - series_begin) / 1s);
        if (second < seconds)
            ++lines_[which].values[second];
    }

    void add(observation const& it) {
        switch (it.what) {
        case observation_kind::request_started:
            request_started_at_[it.id] = it.at;
            break;
        case observation_kind::request_ended:
            add_request_result(it, it.at - request_started_at_[it.id]);
            break;
        case observation_kind::flow_lost:
            if (!it.flag)
                add_refused_opening(it);
            break;
        case observation_kind::packet_into:
            last_packet_ms_ = to_ms(it.at - series_begin -
                                    std::chrono::seconds(outage_begin_second));
            break;
        case observation_kind::over_capacity:
            ++over_capacity_runs_;
            break;
        default:
            break;
        }
    }

    void add_request_result(observation const& it, duration elapsed) {
        if (it.result == request_result::not_run) {
            count(it.at, refused);
            add_refusal(it.at, elapsed);
        } else if (it.result == request_result::unknown) {
            count(it.at, unknown);
        } else {
            count(it.at, elapsed > late_threshold ? late : answered);
        }
    }

    void add_refused_opening(observation const& it) {
        count(it.at, refused);
        if (auto const from = load_.opened_at(it.flow))
            add_refusal(it.at, it.at - *from);
    }

    void add_refusal(instant at, duration elapsed) {
        if (at >= series_begin)
            refusal_times_(to_ms(elapsed));
    }

    fakes::action_filter no_filter_;
    simulation simulation_;
    open_loop_load load_;
    bool is_half_stale_;
    std::vector<series> lines_;
    std::unordered_map<fakes::identity, instant> request_started_at_;
    acc::accumulator_set<double, acc::stats<acc::tag::max, acc::tag::mean>>
        refusal_times_;
    double last_packet_ms_ = 0;
    std::uint64_t over_capacity_runs_ = 0;
};

table make_table(std::string const& title, outage_run const& run,
    double packet_bound_ms, bool is_overload) {
    table result{.title = title, .per_second = run.lines()};
    auto const add = [&](std::string name, std::optional<double> value,
                         std::string unit, std::optional<target> bound) {
        result.figures.push_back(
            {std::move(name), value, std::move(unit), bound});
    };
    add("last packet into it after the edit", run.last_packet_ms(), "ms",
        at_most(packet_bound_ms));
    add("least goodput from the 3rd second on, of what the rest carries",
        100 * run.min_mean_goodput(outage_begin_second + 3, outage_end_second) /
            run.expected_goodput(true),
        "%", at_least(95));
    add("back to 98% after its return", run.recovery_time(0.98), "s",
        at_most(30));
    add("runs over slots or starting bound",
        static_cast<double>(run.over_capacity_runs()), "", at_most(0));
    if (!is_overload)
        return result;
    add("least goodput before, of capacity",
        100 * run.min_mean_goodput(0, outage_begin_second) /
            run.expected_goodput(false),
        "%", at_least(95));
    add("slowest refusal", run.refusal_max_ms(), "ms", at_most(50));
    add("mean refusal", run.refusal_mean_ms(), "ms", std::nullopt);
    return result;
}

} // namespace

outage_figures measure_domain_outage(std::uint64_t seed) {
    struct scenario {
        std::string name;
        double load;
        bool is_half_stale;
        double packet_bound_ms;
    };
    outage_figures result;
    for (auto const& it : {scenario{"70% load", 0.7, false, 3000},
             scenario{"70% load, configuration stale for half of the fleet",
                 0.7, true, 5000},
             scenario{"1.5x overload", 1.5, false, 3000}}) {
        auto const run =
            std::make_unique<outage_run>(it.load, it.is_half_stale, seed);
        run->run();
        result.tables.push_back(
            make_table("Failure domain leaves and returns, " + it.name, *run,
                it.packet_bound_ms, it.load > 1));
        result.tables.back().note =
            "5 of 7 backend servers remain from second 10 to 30; goodput and "
            "recovery are means over 5 s;\nlate: answered after 1 s.";
        if (!it.is_half_stale)
            result.panels.push_back({it.name, run->lines(), outage_begin_second,
                outage_end_second});
    }
    return result;
}

} // namespace radishspread::bench
