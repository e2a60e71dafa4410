#include <matrix/rs_case.hpp>
#include <matrix/rs_fault_table.hpp>

#include <fakes/rs_simulation.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace radishspread::matrix {

using fakes::milestone;
using fakes::simulation;
using namespace std::chrono_literals;

namespace {

// Times of one case. The fleet needs 2.5 s to read its sections with jitter.
// The faults are injected at the latest 5 s after `begin` and the longest lasts
// 6.3 s, so all faults have ended before the last check.
constexpr instant load_begin{2500ms};
constexpr instant begin{4s};
constexpr duration step_limit = 5s;
constexpr instant load_end{begin + 8s};
constexpr instant last_check{begin + 14s};
constexpr instant end{begin + 20s};
constexpr duration short_flow_interval = 400ms;
constexpr duration second_fault_delay = 400ms;
constexpr std::uint32_t long_callers_per_service = 3;
constexpr std::uint32_t burst_size = 12;
constexpr service_id observed_service = 2;

/// Indices in `all_steps()`, in the same order.
enum step_index : std::uint8_t {
    before_opening,
    opening,
    passed_on,
    queued,
    dispatched,
    answering,
    answered,
    idle,
    closing,
    shutting_down,
};

/// Runs one case: simulates the fleet under load and injects the faults when
/// the flow of the observed caller reaches the step.
class case_runner {
public:
    case_runner(case_id const& id, fakes::action_filter& filter)
        : id_(id),
          simulation_(id.is_nashama ? fakes::nashama() : fakes::balkonbloei(),
              id.seed * 7919 + id.first * 131 + id.step, filter) {}

    case_result run() {
        simulation_.queue.at(load_begin, [this] { begin_load(); });
        simulation_.queue.at(begin, [this] { begin_observed(); });
        simulation_.queue.at(
            begin + step_limit, [this] { inject_faults(false); });
        simulation_.queue.at(last_check, [this] { check_flows(); });
        simulation_.on_milestone = [this](endpoint caller, milestone it) {
            on_milestone(caller, it);
        };
        simulation_.run_until(end);
        return make_result();
    }

private:
    void begin_load() {
        for (service_id service = 1; service <= 2; ++service)
            for (std::uint32_t n = 0; n < long_callers_per_service; ++n)
                simulation_.add_caller(service, true);
        add_short_flow();
    }

    void add_short_flow() {
        simulation_.add_caller(1 + simulation_.random()() % 2, false);
        if (simulation_.queue.now() < load_end)
            simulation_.queue.after(
                short_flow_interval, [this] { add_short_flow(); });
    }

    void begin_observed() {
        if (id_.step == before_opening)
            inject_faults(true);
        if (all_steps()[id_.step].has_burst)
            for (std::uint32_t n = 0; n < burst_size; ++n)
                simulation_.add_caller(observed_service, false);
        simulation_.queue.after(20ms, [this] {
            is_observing_ = true;
            observed_ = simulation_.add_caller(observed_service, true)
                            .options()
                            .address;
            if (id_.step == opening)
                inject_faults(true);
            if (auto* const it = simulation_.caller_at(observed_))
                it->send_request(false, 5000);
        });
        if (id_.step == idle)
            simulation_.queue.after(3s, [this] { inject_faults(true); });
        if (id_.step == closing)
            simulation_.queue.after(3s, [this] { close_observed(); });
        if (id_.step == shutting_down)
            simulation_.queue.after(3s, [this] { stop_agent(); });
    }

    void close_observed() {
        if (auto* const it = simulation_.caller_at(observed_))
            it->close();
    }

    void stop_agent() {
        auto const agent = choose_target().agent;
        for (auto const& it : all_faults())
            if (it.name == "agent_stopped")
                it.inject(simulation_, choose_target());
        simulation_.queue.after(100ms, [this, agent] {
            static_cast<void>(agent);
            inject_faults(true);
        });
    }

    void on_milestone(endpoint caller, milestone it) {
        if (!is_observing_ || caller != observed_)
            return;
        bool const is_step_reached =
            (it == milestone::passed_on && id_.step == passed_on) ||
            (it == milestone::queued && id_.step == queued) ||
            (it == milestone::dispatched && id_.step == dispatched) ||
            (it == milestone::answering && id_.step == answering) ||
            (it == milestone::answered && id_.step == answered) ||
            (it == milestone::closing && id_.step == closing);
        // The core that caused the milestone is still executing, so the fault
        // is injected in an event of its own.
        if (is_step_reached)
            simulation_.queue.after(
                duration{0}, [this] { inject_faults(true); });
    }

    [[nodiscard]] fault_target choose_target() {
        fault_target target;
        auto const balancers = simulation_.endpoints(true);
        target.balancer = balancers.empty()
                              ? fakes::balancer_endpoint(0)
                              : balancers[id_.seed % balancers.size()];
        auto const* const caller = simulation_.caller_at(observed_);
        auto const cookie = caller ? caller->cookie() : std::nullopt;
        auto const first_backend = static_cast<backend_id>(
            1 + simulation_.fleet().backends_per_service[0]);
        target.agent =
            cookie ? cookie->agent : fakes::agent_endpoint(first_backend);
        target.backend = simulation_.backend_of(target.agent);
        target.domain = simulation_.domain_of(target.agent);
        return target;
    }

    void inject_faults(bool is_at_step) {
        if (has_injected_)
            return;
        has_injected_ = true;
        reached_step_ = is_at_step;
        auto const target = choose_target();
        all_faults()[id_.first].inject(simulation_, target);
        if (id_.second)
            simulation_.queue.after(second_fault_delay, [this, target] {
                all_faults()[*id_.second].inject(simulation_, target);
            });
    }

    void check_flows() {
        for (auto* const it : simulation_.long_callers())
            if (it->is_open())
                it->send_request(true, 40, true);
    }

    [[nodiscard]] case_result make_result() {
        case_result result{
            .violations = check_promises(simulation_.log, simulation_.fleet()),
            .reached_step = reached_step_};
        std::string text;
        for (auto const& it : simulation_.log)
            text += fakes::to_string(it);
        result.digest = XXH3_64bits(text.data(), text.size());
        result.log = std::move(simulation_.log);
        return result;
    }

    case_id id_;
    simulation simulation_;
    endpoint observed_;
    bool is_observing_ = false;
    bool has_injected_ = false;
    bool reached_step_ = false;
};

std::optional<std::uint8_t> find_fault(std::string_view name) {
    auto const all = all_faults();
    auto const it = std::find_if(all.begin(), all.end(),
        [&](auto const& entry) { return entry.name == name; });
    if (it == all.end())
        return std::nullopt;
    return static_cast<std::uint8_t>(it - all.begin());
}

std::vector<std::string_view> split_text(
    std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    while (true) {
        auto const at = text.find(separator);
        parts.push_back(text.substr(0, at));
        if (at == std::string_view::npos)
            return parts;
        text.remove_prefix(at + 1);
    }
}

} // namespace

std::string to_string(case_id const& it) {
    std::string text = it.is_nashama ? "nashama/" : "balkonbloei/";
    text += all_faults()[it.first].name;
    if (it.second) {
        text += '+';
        text += all_faults()[*it.second].name;
    }
    text += '/';
    text += all_steps()[it.step].name;
    return text + '/' + std::to_string(it.seed);
}

std::optional<case_id> parse_case(std::string_view text) {
    auto const parts = split_text(text, '/');
    if (parts.size() != 4)
        return std::nullopt;
    case_id id{.is_nashama = parts[0] == "nashama"};
    auto const names = split_text(parts[1], '+');
    auto const first = find_fault(names[0]);
    if (!first || names.size() > 2)
        return std::nullopt;
    id.first = *first;
    if (names.size() == 2) {
        id.second = find_fault(names[1]);
        if (!id.second)
            return std::nullopt;
    }
    auto const steps = all_steps();
    auto const step = std::find_if(steps.begin(), steps.end(),
        [&](auto const& entry) { return entry.name == parts[2]; });
    auto const seed = parts[3];
    auto const parsed =
        std::from_chars(seed.data(), seed.data() + seed.size(), id.seed);
    if (step == steps.end() || parsed.ec != std::errc{})
        return std::nullopt;
    id.step = static_cast<std::uint8_t>(step - steps.begin());
    return id;
}

case_result run_case(case_id const& id, fakes::action_filter& filter) {
    return case_runner(id, filter).run();
}

std::vector<case_id> all_cases() {
    std::vector<case_id> cases;
    auto const faults = static_cast<std::uint8_t>(all_faults().size());
    auto const steps = static_cast<std::uint8_t>(all_steps().size());
    for (std::uint8_t step = 0; step < steps; ++step)
        for (std::uint8_t first = 0; first < faults; ++first) {
            for (bool const is_nashama : {false, true})
                cases.push_back({is_nashama, first, std::nullopt, step, 1});
            // The order of the two faults and the deployment alternate, so that
            // both orders and both deployments occur at every step.
            for (std::uint8_t second = first; second < faults; ++second) {
                bool const is_odd = (first + second + step) % 2 == 1;
                cases.push_back({is_odd, is_odd ? second : first,
                    is_odd ? first : second, step, 2});
            }
        }
    return cases;
}

} // namespace radishspread::matrix
