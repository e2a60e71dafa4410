#include <golden/rs_session_recorder.hpp>
#include <golden/rs_sessions.hpp>

namespace radishspread::golden {

using fakes::fake_configuration;
using fakes::milestone;
using fakes::observation_kind;
using namespace std::chrono_literals;

namespace {

/// Start of a session. By this time the fleet has read its sections and proven
/// its views.
constexpr instant begin{4s};
constexpr service_id service = 1;
constexpr std::string_view service_name = "service/service-1";

constexpr std::string_view notation =
    "# 2 balancers; 3 agents with a backend server each, agent N in failure\n"
    "# domain (N - 1) mod 3 + 1. A -> B: A sent to B; A <- B: A received from\n"
    "# B. RSnnnn: numbered log event. order: the request's number at the\n"
    "# caller. Lines without a process at the start are what callers, backend\n"
    "# servers and operators saw or did. The start of the fleet, watches and\n"
    "# digests are left out.\n";

fakes::deployment small_fleet() {
    return {.name = "golden",
        .balancers = 2,
        .slots = 4,
        .backends_per_service = {3}};
}

/// A small simulated fleet and the recorder of its events.
class session {
public:
    explicit session(std::uint64_t seed) : fleet(small_fleet(), seed, filter_) {
        fleet.set_observer(recorder_);
        at(0ms, [this] { recorder_.begin(); });
    }

    /// Schedules `step` at `begin + when`.
    void at(duration when, fakes::event_queue::action step) {
        fleet.queue.at(begin + when, std::move(step));
    }

    /// Runs the fleet until `begin + end`. Returns the title, the notation and
    /// the recorded lines.
    std::string run(std::string const& title, duration end) {
        fleet.run_until(begin + end);
        return "# " + title + "\n" + std::string(notation) + recorder_.text();
    }

    /// Adds a caller that keeps its flow and sends a request every 1.5 s.
    void add_caller() {
        callers_.push_back(fleet.add_caller(service, true).options().address);
    }

    /// Makes the configuration service available or unavailable.
    void set_configuration(bool is_up) {
        fleet.record({.what = is_up ? observation_kind::service_healthy
                                    : observation_kind::service_impaired});
        fleet.configuration.set_state(is_up ? fake_configuration::state::healthy
                                            : fake_configuration::state::down);
    }

    /// The agent that holds the flow of the first caller.
    [[nodiscard]] endpoint agent() {
        auto const cookie = fleet.caller_at(callers_.front())->cookie();
        return cookie ? cookie->agent : endpoint{};
    }

    /// Calls `then` as soon as some but not all processes hold the newest
    /// revision of `section`.
    void when_views_differ(std::string const& section, bool balancers_only,
        std::function<void()> const& then) {
        auto const newest = fleet.configuration.latest(section)->held;
        std::size_t informed = 0;
        std::size_t others = 0;
        for (bool const is_balancer : {true, false})
            for (auto const& it : fleet.endpoints(is_balancer)) {
                if (balancers_only && !is_balancer)
                    continue;
                auto const held = fleet.find(it)->view().find(section);
                ++(held && held->held == newest ? informed : others);
            }
        if (informed > 0 && others > 0)
            return then();
        fleet.queue.after(1ms, [this, section, balancers_only, then] {
            when_views_differ(section, balancers_only, then);
        });
    }

private:
    fakes::action_filter filter_;

public:
    fakes::simulation fleet;

private:
    session_recorder recorder_{fleet};
    std::vector<endpoint> callers_;
};

} // namespace

std::string drain_under_load() {
    session it(1);
    it.at(0ms, [&] { it.add_caller(); });
    it.at(0ms, [&] { it.add_caller(); });
    it.at(
        200ms, [&] { it.fleet.drain(it.fleet.backend_of(it.agent()), true); });
    return it.run("Drain of the backend server of caller-1 under load", 5s);
}

std::string domain_out_and_back() {
    session it(2);
    domain_id domain = 0;
    it.at(0ms, [&] { it.add_caller(); });
    it.at(1s, [&] {
        domain = it.fleet.domain_of(it.agent());
        it.fleet.set_domain(domain, true);
    });
    it.at(5s, [&] { it.fleet.set_domain(domain, false); });
    it.at(8s, [&] { it.add_caller(); });
    return it.run("Failure domain of caller-1 out and back", 9s);
}

std::string order_through_two_balancers() {
    session it(15);
    it.at(0ms, [&] {
        it.fleet.drain(3, true);
        it.when_views_differ(std::string(service_name), true, [&] {
            it.fleet.faults.duplicate_probability = 1;
            it.fleet.record({.what = observation_kind::packet_fault});
            it.add_caller();
            it.fleet.queue.after(150ms, [&] { it.fleet.faults = {}; });
        });
    });
    return it.run("An order repeated through two balancers with different "
                  "views: every datagram arrives twice for 150 ms",
        1500ms);
}

std::string agent_restart_during_order() {
    session it(4);
    bool has_restarted = false;
    it.fleet.on_milestone = [&](endpoint, milestone reached) {
        if (reached != milestone::dispatched || has_restarted)
            return;
        has_restarted = true;
        // The core that dispatched the request is still executing, so its agent
        // is killed in a later event.
        it.fleet.queue.after(20ms, [&] {
            auto const agent = it.agent();
            it.fleet.kill(agent);
            it.fleet.queue.after(10ms, [&, agent] { it.fleet.restart(agent); });
        });
    };
    it.at(0ms, [&] { it.add_caller(); });
    return it.run("Agent restart in the middle of an order", 5s);
}

std::string edit_during_outage() {
    session it(5);
    it.at(0ms, [&] { it.add_caller(); });
    it.at(500ms, [&] { it.set_configuration(false); });
    it.at(
        700ms, [&] { it.fleet.drain(it.fleet.backend_of(it.agent()), true); });
    it.at(1s, [&] {
        it.set_configuration(true);
        it.when_views_differ(std::string(service_name), false,
            [&] { it.set_configuration(false); });
    });
    return it.run("Edit during an outage of the configuration service, read "
                  "by a part of the fleet in a short gap, then spread by peers",
        5s);
}

std::string split_and_heal() {
    session it(6);
    std::vector<endpoint> partition;
    it.at(0ms, [&] { it.add_caller(); });
    it.at(1s, [&] {
        partition = {it.fleet.endpoints(true).front(), it.agent()};
        for (auto const& process : partition)
            it.fleet.set_group(process, 1);
    });
    it.at(1500ms, [&] { it.fleet.edit_domains(); });
    it.at(5s, [&] {
        for (auto const& process : partition)
            it.fleet.set_group(process, 0);
    });
    return it.run("Split of the fleet, an edit during it, and heal", 8s);
}

} // namespace radishspread::golden
