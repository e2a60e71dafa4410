#include <matrix/rs_fault_table.hpp>

#include <array>

namespace radishspread::matrix {

using fakes::fake_configuration;
using fakes::observation_kind;
using fakes::simulation;
using namespace std::chrono_literals;

namespace {

/// `value` is 1 if the backend server becomes cold without notice, 2 if it does
/// so again while it is still cold, and 0 for all other faults.
void record_backend_fault(
    simulation& sim, backend_id id, std::int64_t value = 0) {
    sim.record({.what = observation_kind::backend_fault,
        .backend = id,
        .value = value});
}

void restart_after(simulation& sim, endpoint process, duration delay) {
    sim.queue.after(delay, [&sim, process] {
        if (sim.find(process) == nullptr)
            sim.restart(process);
    });
}

void kill_for(simulation& sim, endpoint process, duration delay) {
    sim.kill(process);
    restart_after(sim, process, delay);
}

void pause_for(simulation& sim, endpoint process, duration time) {
    sim.pause(process);
    sim.queue.after(time, [&sim, process] { sim.resume(process); });
}

/// Restarts a stopped process once it has finished. Checks every 500 ms, up to
/// `attempts_left` more times after the first.
void restart_when_finished(
    simulation& sim, endpoint process, int attempts_left) {
    sim.queue.after(500ms, [&sim, process, attempts_left] {
        if (sim.find(process) == nullptr)
            sim.restart(process);
        else if (attempts_left > 0)
            restart_when_finished(sim, process, attempts_left - 1);
    });
}

void stop_process(simulation& sim, endpoint process) {
    if (sim.find(process) == nullptr)
        return;
    sim.stop(process, 10s);
    restart_when_finished(sim, process, 20);
}

void inject_packet_faults(simulation& sim, fakes::packet_faults faults) {
    sim.record({.what = observation_kind::packet_fault});
    sim.faults = faults;
    sim.queue.after(2s, [&sim] { sim.faults = {}; });
}

/// Puts the configuration service into `state` for 5 s.
void impair_service(simulation& sim, fake_configuration::state state) {
    sim.record({.what = observation_kind::service_impaired});
    sim.configuration.set_state(state);
    sim.queue.after(5s, [&sim] {
        sim.configuration.set_state(fake_configuration::state::healthy);
        sim.record({.what = observation_kind::service_healthy});
    });
}

/// Partitions one balancer and every third agent from the rest of the fleet for
/// 4 s.
void split_fleet(simulation& sim) {
    auto const balancers = sim.endpoints(true);
    auto const agents = sim.endpoints(false);
    std::vector<endpoint> partition;
    if (!balancers.empty())
        partition.push_back(balancers.front());
    for (std::size_t i = 0; i < agents.size(); i += 3)
        partition.push_back(agents[i]);
    for (auto const& it : partition)
        sim.set_group(it, 1);
    sim.queue.after(4s, [&sim, partition] {
        for (auto const& it : partition)
            sim.set_group(it, 0);
    });
}

void set_domain_out_for(simulation& sim, domain_id domain, duration time) {
    sim.set_domain(domain, true);
    sim.queue.after(time, [&sim, domain] { sim.set_domain(domain, false); });
}

void crash_backend(simulation& sim, backend_id id, duration time) {
    record_backend_fault(sim, id);
    sim.backend(id).crash_until(sim.queue.now() + time);
}

constexpr std::array<fault, 27> faults{{
    {"balancer_killed",
        [](simulation& sim, fault_target target) {
            kill_for(sim, target.balancer, 2s);
        }},
    {"balancer_joining",
        [](simulation& sim, fault_target) {
            sim.add_balancer(9);
        }},
    {"balancer_paused",
        [](simulation& sim, fault_target target) {
            pause_for(sim, target.balancer, 2500ms);
        }},
    {"balancer_stopped",
        [](simulation& sim, fault_target target) {
            stop_process(sim, target.balancer);
        }},
    {"agent_killed",
        [](simulation& sim, fault_target target) {
            kill_for(sim, target.agent, 3s);
        }},
    {"agent_restarted",
        [](simulation& sim, fault_target target) {
            kill_for(sim, target.agent, 10ms);
        }},
    {"agent_paused",
        [](simulation& sim, fault_target target) {
            pause_for(sim, target.agent, 2500ms);
        }},
    {"agent_stopped",
        [](simulation& sim, fault_target target) {
            stop_process(sim, target.agent);
        }},
    {"backend_draining",
        [](simulation& sim, fault_target target) {
            sim.drain(target.backend, true);
        }},
    {"backend_cold",
        [](simulation& sim, fault_target target) {
            crash_backend(sim, target.backend, 0ms);
        }},
    {"backend_cold_unannounced",
        [](simulation& sim, fault_target target) {
            record_backend_fault(sim, target.backend,
                sim.backend(target.backend).is_cold() ? 2 : 1);
            sim.backend(target.backend).set_cold();
        }},
    {"backend_shedding",
        [](simulation& sim, fault_target target) {
            record_backend_fault(sim, target.backend);
            sim.backend(target.backend).shed_until(sim.queue.now() + 1s);
        }},
    {"backend_crashed",
        [](simulation& sim, fault_target target) {
            crash_backend(sim, target.backend, 2s);
        }},
    {"backend_silent",
        [](simulation& sim, fault_target target) {
            record_backend_fault(sim, target.backend);
            sim.backend(target.backend).make_unresponsive();
        }},
    {"packets_lost",
        [](simulation& sim, fault_target) {
            inject_packet_faults(sim, {.loss_probability = 0.2});
        }},
    {"packets_duplicated",
        [](simulation& sim, fault_target) {
            inject_packet_faults(sim, {.duplicate_probability = 0.3});
        }},
    {"packets_late",
        [](simulation& sim, fault_target) {
            inject_packet_faults(sim, {.delay_probability = 0.2});
        }},
    {"packets_reordered",
        [](simulation& sim, fault_target) {
            inject_packet_faults(sim, {.max_reorder_delay = 20ms});
        }},
    {"service_down",
        [](simulation& sim, fault_target) {
            impair_service(sim, fake_configuration::state::down);
            sim.queue.after(1s, [&sim] { sim.edit_domains(); });
        }},
    {"service_stale",
        [](simulation& sim, fault_target) {
            impair_service(sim, fake_configuration::state::stale);
            sim.queue.after(1s, [&sim] { sim.edit_domains(); });
        }},
    {"service_older",
        [](simulation& sim, fault_target) {
            sim.edit_domains();
            impair_service(sim, fake_configuration::state::lagging_replica);
        }},
    {"host_list_late",
        [](simulation& sim, fault_target target) {
            stop_process(sim, target.agent);
            sim.queue.after(
                2s, [&sim, target] { sim.set_leaving(target.backend, true); });
        }},
    {"host_list_wrong",
        [](simulation& sim, fault_target target) {
            sim.set_leaving(target.backend, true);
            sim.queue.after(1s, [&sim, target] {
                sim.set_leaving(target.backend % 10 + 1, true);
            });
        }},
    {"edits_uneven",
        [](simulation& sim, fault_target) {
            sim.max_watch_delay = 3s;
            sim.edit_domains();
        }},
    {"domain_out",
        [](simulation& sim, fault_target target) {
            set_domain_out_for(sim, target.domain, 6s);
        }},
    {"domain_out_and_in",
        [](simulation& sim, fault_target target) {
            set_domain_out_for(sim, target.domain, 20ms);
            sim.queue.after(300ms, [&sim, target] {
                set_domain_out_for(sim, target.domain, 5500ms);
            });
        }},
    {"fleet_split",
        [](simulation& sim, fault_target) {
            split_fleet(sim);
        }},
}};

constexpr std::array<flow_step, 10> steps{{
    {"before_opening"},
    {"opening"},
    {"passed_on", true},
    {"queued", true},
    {"dispatched"},
    {"answering"},
    {"answered"},
    {"idle"},
    {"closing"},
    {"shutting_down"},
}};

} // namespace

std::span<fault const> all_faults() {
    return faults;
}

std::span<flow_step const> all_steps() {
    return steps;
}

} // namespace radishspread::matrix
