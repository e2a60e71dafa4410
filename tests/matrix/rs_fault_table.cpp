#include <matrix/rs_fault_table.hpp>

#include <array>

namespace radishspread::matrix {

using fakes::fake_configuration;
using fakes::seen;
using fakes::world;
using namespace std::chrono_literals;

namespace {

void record_backend_fault(world& in, backend_id id, std::int64_t value = 0) {
    in.note({.what = seen::backend_fault, .backend = id, .value = value});
}

void restart_after(world& in, endpoint process, duration delay) {
    in.queue.after(delay, [&in, process] {
        if (in.find(process) == nullptr)
            in.restart(process);
    });
}

void kill_for(world& in, endpoint process, duration delay) {
    in.kill(process);
    restart_after(in, process, delay);
}

void pause_for(world& in, endpoint process, duration time) {
    in.pause(process);
    in.queue.after(time, [&in, process] { in.resume(process); });
}

/// Restarts a stopped process once it has finished.
void restart_when_finished(world& in, endpoint process, int tries) {
    in.queue.after(500ms, [&in, process, tries] {
        if (in.find(process) == nullptr)
            in.restart(process);
        else if (tries > 0)
            restart_when_finished(in, process, tries - 1);
    });
}

void stop_process(world& in, endpoint process) {
    if (in.find(process) == nullptr)
        return;
    in.stop(process, 10s);
    restart_when_finished(in, process, 20);
}

void inject_packet_faults(world& in, fakes::packet_faults faults) {
    in.note({.what = seen::packet_fault});
    in.faults = faults;
    in.queue.after(2s, [&in] { in.faults = {}; });
}

void impair_service(world& in, fake_configuration::state state) {
    in.note({.what = seen::service_impaired});
    in.configuration.set_state(state);
    in.queue.after(5s, [&in] {
        in.configuration.set_state(fake_configuration::state::healthy);
        in.note({.what = seen::service_healthy});
    });
}

void split_fleet(world& in) {
    auto const balancers = in.endpoints(true);
    auto const agents = in.endpoints(false);
    std::vector<endpoint> part;
    if (!balancers.empty())
        part.push_back(balancers.front());
    for (std::size_t i = 0; i < agents.size(); i += 3)
        part.push_back(agents[i]);
    for (auto const& it : part)
        in.set_group(it, 1);
    in.queue.after(4s, [&in, part] {
        for (auto const& it : part)
            in.set_group(it, 0);
    });
}

void set_domain_out_for(world& in, domain_id domain, duration time) {
    in.set_domain(domain, true);
    in.queue.after(time, [&in, domain] { in.set_domain(domain, false); });
}

void crash_backend(world& in, backend_id id, duration time) {
    record_backend_fault(in, id);
    in.backend(id).crash_until(in.queue.now() + time);
}

constexpr std::array<fault, 27> faults{{
    {"balancer_killed",
        [](world& in, fault_target at) {
            kill_for(in, at.balancer, 2s);
        }},
    {"balancer_joining",
        [](world& in, fault_target) {
            in.add_balancer(9);
        }},
    {"balancer_paused",
        [](world& in, fault_target at) {
            pause_for(in, at.balancer, 2500ms);
        }},
    {"balancer_stopped",
        [](world& in, fault_target at) {
            stop_process(in, at.balancer);
        }},
    {"agent_killed",
        [](world& in, fault_target at) {
            kill_for(in, at.agent, 3s);
        }},
    {"agent_restarted",
        [](world& in, fault_target at) {
            kill_for(in, at.agent, 10ms);
        }},
    {"agent_paused",
        [](world& in, fault_target at) {
            pause_for(in, at.agent, 2500ms);
        }},
    {"agent_stopped",
        [](world& in, fault_target at) {
            stop_process(in, at.agent);
        }},
    {"backend_draining",
        [](world& in, fault_target at) {
            in.drain(at.backend, true);
        }},
    {"backend_cold",
        [](world& in, fault_target at) {
            crash_backend(in, at.backend, 0ms);
        }},
    {"backend_cold_unannounced",
        [](world& in, fault_target at) {
            record_backend_fault(
                in, at.backend, in.backend(at.backend).is_cold() ? 2 : 1);
            in.backend(at.backend).turn_cold();
        }},
    {"backend_shedding",
        [](world& in, fault_target at) {
            record_backend_fault(in, at.backend);
            in.backend(at.backend).shed_until(in.queue.now() + 1s);
        }},
    {"backend_crashed",
        [](world& in, fault_target at) {
            crash_backend(in, at.backend, 2s);
        }},
    {"backend_silent",
        [](world& in, fault_target at) {
            record_backend_fault(in, at.backend);
            in.backend(at.backend).silence();
        }},
    {"packets_lost",
        [](world& in, fault_target) {
            inject_packet_faults(in, {.lost = 0.2});
        }},
    {"packets_duplicated",
        [](world& in, fault_target) {
            inject_packet_faults(in, {.duplicated = 0.3});
        }},
    {"packets_late",
        [](world& in, fault_target) {
            inject_packet_faults(in, {.late = 0.2});
        }},
    {"packets_reordered",
        [](world& in, fault_target) {
            inject_packet_faults(in, {.reordering = 20ms});
        }},
    {"service_down",
        [](world& in, fault_target) {
            impair_service(in, fake_configuration::state::down);
            in.queue.after(1s, [&in] { in.edit_domains(); });
        }},
    {"service_stale",
        [](world& in, fault_target) {
            impair_service(in, fake_configuration::state::stale);
            in.queue.after(1s, [&in] { in.edit_domains(); });
        }},
    {"service_older",
        [](world& in, fault_target) {
            in.edit_domains();
            impair_service(in, fake_configuration::state::older);
        }},
    {"host_list_late",
        [](world& in, fault_target at) {
            stop_process(in, at.agent);
            in.queue.after(2s, [&in, at] { in.set_leaving(at.backend, true); });
        }},
    {"host_list_wrong",
        [](world& in, fault_target at) {
            in.set_leaving(at.backend, true);
            in.queue.after(
                1s, [&in, at] { in.set_leaving(at.backend % 10 + 1, true); });
        }},
    {"edits_uneven",
        [](world& in, fault_target) {
            in.uneven_delay = 3s;
            in.edit_domains();
        }},
    {"domain_out",
        [](world& in, fault_target at) {
            set_domain_out_for(in, at.domain, 6s);
        }},
    {"domain_out_and_in",
        [](world& in, fault_target at) {
            set_domain_out_for(in, at.domain, 20ms);
            in.queue.after(
                300ms, [&in, at] { set_domain_out_for(in, at.domain, 5500ms); });
        }},
    {"fleet_split",
        [](world& in, fault_target) {
            split_fleet(in);
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
