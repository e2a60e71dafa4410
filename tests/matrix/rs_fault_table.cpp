#include <matrix/rs_fault_table.hpp>

#include <array>

namespace radishspread::matrix {

using fakes::fake_configuration;
using fakes::seen;
using fakes::world;
using namespace std::chrono_literals;

namespace {

/// `value` is 1 if the backend server becomes cold without notice, 2 if it does
/// so again while it is still cold, and 0 for all other faults.
void record_backend_fault(world& sim, backend_id id, std::int64_t value = 0) {
    sim.note({.what = seen::backend_fault, .backend = id, .value = value});
}

void restart_after(world& sim, endpoint process, duration delay) {
    sim.queue.after(delay, [&sim, process] {
        if (sim.find(process) == nullptr)
            sim.restart(process);
    });
}

void kill_for(world& sim, endpoint process, duration delay) {
    sim.kill(process);
    restart_after(sim, process, delay);
}

void pause_for(world& sim, endpoint process, duration time) {
    sim.pause(process);
    sim.queue.after(time, [&sim, process] { sim.resume(process); });
}

/// Restarts a stopped process once it has finished. Checks every 500 ms, up to
/// `attempts_left` more times after the first.
void restart_when_finished(world& sim, endpoint process, int attempts_left) {
    sim.queue.after(500ms, [&sim, process, attempts_left] {
        if (sim.find(process) == nullptr)
            sim.restart(process);
        else if (attempts_left > 0)
            restart_when_finished(sim, process, attempts_left - 1);
    });
}

void stop_process(world& sim, endpoint process) {
    if (sim.find(process) == nullptr)
        return;
    sim.stop(process, 10s);
    restart_when_finished(sim, process, 20);
}

void inject_packet_faults(world& sim, fakes::packet_faults faults) {
    sim.note({.what = seen::packet_fault});
    sim.faults = faults;
    sim.queue.after(2s, [&sim] { sim.faults = {}; });
}

/// Puts the configuration service into `state` for 5 s.
void impair_service(world& sim, fake_configuration::state state) {
    sim.note({.what = seen::service_impaired});
    sim.configuration.set_state(state);
    sim.queue.after(5s, [&sim] {
        sim.configuration.set_state(fake_configuration::state::healthy);
        sim.note({.what = seen::service_healthy});
    });
}

/// Partitions one balancer and every third agent from the rest of the fleet for
/// 4 s.
void split_fleet(world& sim) {
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

void set_domain_out_for(world& sim, domain_id domain, duration time) {
    sim.set_domain(domain, true);
    sim.queue.after(time, [&sim, domain] { sim.set_domain(domain, false); });
}

void crash_backend(world& sim, backend_id id, duration time) {
    record_backend_fault(sim, id);
    sim.backend(id).crash_until(sim.queue.now() + time);
}

constexpr std::array<fault, 27> faults{{
    {"balancer_killed",
        [](world& sim, fault_target target) {
            kill_for(sim, target.balancer, 2s);
        }},
    {"balancer_joining",
        [](world& sim, fault_target) {
            sim.add_balancer(9);
        }},
    {"balancer_paused",
        [](world& sim, fault_target target) {
            pause_for(sim, target.balancer, 2500ms);
        }},
    {"balancer_stopped",
        [](world& sim, fault_target target) {
            stop_process(sim, target.balancer);
        }},
    {"agent_killed",
        [](world& sim, fault_target target) {
            kill_for(sim, target.agent, 3s);
        }},
    {"agent_restarted",
        [](world& sim, fault_target target) {
            kill_for(sim, target.agent, 10ms);
        }},
    {"agent_paused",
        [](world& sim, fault_target target) {
            pause_for(sim, target.agent, 2500ms);
        }},
    {"agent_stopped",
        [](world& sim, fault_target target) {
            stop_process(sim, target.agent);
        }},
    {"backend_draining",
        [](world& sim, fault_target target) {
            sim.drain(target.backend, true);
        }},
    {"backend_cold",
        [](world& sim, fault_target target) {
            crash_backend(sim, target.backend, 0ms);
        }},
    {"backend_cold_unannounced",
        [](world& sim, fault_target target) {
            record_backend_fault(sim, target.backend,
                sim.backend(target.backend).is_cold() ? 2 : 1);
            sim.backend(target.backend).turn_cold();
        }},
    {"backend_shedding",
        [](world& sim, fault_target target) {
            record_backend_fault(sim, target.backend);
            sim.backend(target.backend).shed_until(sim.queue.now() + 1s);
        }},
    {"backend_crashed",
        [](world& sim, fault_target target) {
            crash_backend(sim, target.backend, 2s);
        }},
    {"backend_silent",
        [](world& sim, fault_target target) {
            record_backend_fault(sim, target.backend);
            sim.backend(target.backend).silence();
        }},
    {"packets_lost",
        [](world& sim, fault_target) {
            inject_packet_faults(sim, {.lost = 0.2});
        }},
    {"packets_duplicated",
        [](world& sim, fault_target) {
            inject_packet_faults(sim, {.duplicated = 0.3});
        }},
    {"packets_late",
        [](world& sim, fault_target) {
            inject_packet_faults(sim, {.late = 0.2});
        }},
    {"packets_reordered",
        [](world& sim, fault_target) {
            inject_packet_faults(sim, {.reordering = 20ms});
        }},
    {"service_down",
        [](world& sim, fault_target) {
            impair_service(sim, fake_configuration::state::down);
            sim.queue.after(1s, [&sim] { sim.edit_domains(); });
        }},
    {"service_stale",
        [](world& sim, fault_target) {
            impair_service(sim, fake_configuration::state::stale);
            sim.queue.after(1s, [&sim] { sim.edit_domains(); });
        }},
    {"service_older",
        [](world& sim, fault_target) {
            sim.edit_domains();
            impair_service(sim, fake_configuration::state::older);
        }},
    {"host_list_late",
        [](world& sim, fault_target target) {
            stop_process(sim, target.agent);
            sim.queue.after(
                2s, [&sim, target] { sim.set_leaving(target.backend, true); });
        }},
    {"host_list_wrong",
        [](world& sim, fault_target target) {
            sim.set_leaving(target.backend, true);
            sim.queue.after(1s, [&sim, target] {
                sim.set_leaving(target.backend % 10 + 1, true);
            });
        }},
    {"edits_uneven",
        [](world& sim, fault_target) {
            sim.uneven_delay = 3s;
            sim.edit_domains();
        }},
    {"domain_out",
        [](world& sim, fault_target target) {
            set_domain_out_for(sim, target.domain, 6s);
        }},
    {"domain_out_and_in",
        [](world& sim, fault_target target) {
            set_domain_out_for(sim, target.domain, 20ms);
            sim.queue.after(300ms, [&sim, target] {
                set_domain_out_for(sim, target.domain, 5500ms);
            });
        }},
    {"fleet_split",
        [](world& sim, fault_target) {
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
