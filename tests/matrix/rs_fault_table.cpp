#include <matrix/rs_fault_table.hpp>

#include <array>

namespace radishspread::matrix {

using fakes::fake_configuration;
using fakes::observation_kind;
using fakes::simulation;
using namespace std::chrono_literals;

namespace {

void note_backend(simulation& in, backend_id id, std::int64_t value = 0) {
    in.record({.what = observation_kind::backend_fault,
        .backend = id,
        .value = value});
}

void restart_after(simulation& in, endpoint process, duration delay) {
    in.queue.after(delay, [&in, process] {
        if (in.find(process) == nullptr)
            in.restart(process);
    });
}

void kill_for(simulation& in, endpoint process, duration delay) {
    in.kill(process);
    restart_after(in, process, delay);
}

void pause_for(simulation& in, endpoint process, duration time) {
    in.pause(process);
    in.queue.after(time, [&in, process] { in.resume(process); });
}

/// Restarts a stopped process once it has finished.
void restart_when_finished(simulation& in, endpoint process, int tries) {
    in.queue.after(500ms, [&in, process, tries] {
        if (in.find(process) == nullptr)
            in.restart(process);
        else if (tries > 0)
            restart_when_finished(in, process, tries - 1);
    });
}

void stop_process(simulation& in, endpoint process) {
    if (in.find(process) == nullptr)
        return;
    in.stop(process, 10s);
    restart_when_finished(in, process, 20);
}

void with_packets(simulation& in, fakes::packet_faults faults) {
    in.record({.what = observation_kind::packet_fault});
    in.faults = faults;
    in.queue.after(2s, [&in] { in.faults = {}; });
}

void impair(simulation& in, fake_configuration::state state) {
    in.record({.what = observation_kind::service_impaired});
    in.configuration.set_state(state);
    in.queue.after(5s, [&in] {
        in.configuration.set_state(fake_configuration::state::healthy);
        in.record({.what = observation_kind::service_healthy});
    });
}

void split(simulation& in) {
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

void take_out(simulation& in, domain_id domain, duration time) {
    in.set_domain(domain, true);
    in.queue.after(time, [&in, domain] { in.set_domain(domain, false); });
}

void crash(simulation& in, backend_id id, duration time) {
    note_backend(in, id);
    in.backend(id).crash_until(in.queue.now() + time);
}

constexpr std::array<fault, 27> faults{{
    {"balancer_killed",
        [](simulation& in, target at) {
            kill_for(in, at.balancer, 2s);
        }},
    {"balancer_joining",
        [](simulation& in, target) {
            in.add_balancer(9);
        }},
    {"balancer_paused",
        [](simulation& in, target at) {
            pause_for(in, at.balancer, 2500ms);
        }},
    {"balancer_stopped",
        [](simulation& in, target at) {
            stop_process(in, at.balancer);
        }},
    {"agent_killed",
        [](simulation& in, target at) {
            kill_for(in, at.agent, 3s);
        }},
    {"agent_restarted",
        [](simulation& in, target at) {
            kill_for(in, at.agent, 10ms);
        }},
    {"agent_paused",
        [](simulation& in, target at) {
            pause_for(in, at.agent, 2500ms);
        }},
    {"agent_stopped",
        [](simulation& in, target at) {
            stop_process(in, at.agent);
        }},
    {"backend_draining",
        [](simulation& in, target at) {
            in.drain(at.backend, true);
        }},
    {"backend_cold",
        [](simulation& in, target at) {
            crash(in, at.backend, 0ms);
        }},
    {"backend_cold_unannounced",
        [](simulation& in, target at) {
            note_backend(
                in, at.backend, in.backend(at.backend).is_cold() ? 2 : 1);
            in.backend(at.backend).set_cold();
        }},
    {"backend_shedding",
        [](simulation& in, target at) {
            note_backend(in, at.backend);
            in.backend(at.backend).shed_until(in.queue.now() + 1s);
        }},
    {"backend_crashed",
        [](simulation& in, target at) {
            crash(in, at.backend, 2s);
        }},
    {"backend_silent",
        [](simulation& in, target at) {
            note_backend(in, at.backend);
            in.backend(at.backend).make_unresponsive();
        }},
    {"packets_lost",
        [](simulation& in, target) {
            with_packets(in, {.loss_probability = 0.2});
        }},
    {"packets_duplicated",
        [](simulation& in, target) {
            with_packets(in, {.duplicate_probability = 0.3});
        }},
    {"packets_late",
        [](simulation& in, target) {
            with_packets(in, {.delay_probability = 0.2});
        }},
    {"packets_reordered",
        [](simulation& in, target) {
            with_packets(in, {.max_reorder_delay = 20ms});
        }},
    {"service_down",
        [](simulation& in, target) {
            impair(in, fake_configuration::state::down);
            in.queue.after(1s, [&in] { in.edit_domains(); });
        }},
    {"service_stale",
        [](simulation& in, target) {
            impair(in, fake_configuration::state::stale);
            in.queue.after(1s, [&in] { in.edit_domains(); });
        }},
    {"service_older",
        [](simulation& in, target) {
            in.edit_domains();
            impair(in, fake_configuration::state::lagging_replica);
        }},
    {"host_list_late",
        [](simulation& in, target at) {
            stop_process(in, at.agent);
            in.queue.after(2s, [&in, at] { in.set_leaving(at.backend, true); });
        }},
    {"host_list_wrong",
        [](simulation& in, target at) {
            in.set_leaving(at.backend, true);
            in.queue.after(
                1s, [&in, at] { in.set_leaving(at.backend % 10 + 1, true); });
        }},
    {"edits_uneven",
        [](simulation& in, target) {
            in.max_watch_delay = 3s;
            in.edit_domains();
        }},
    {"domain_out",
        [](simulation& in, target at) {
            take_out(in, at.domain, 6s);
        }},
    {"domain_out_and_in",
        [](simulation& in, target at) {
            take_out(in, at.domain, 20ms);
            in.queue.after(
                300ms, [&in, at] { take_out(in, at.domain, 5500ms); });
        }},
    {"fleet_split",
        [](simulation& in, target) {
            split(in);
        }},
}};

constexpr std::array<step_entry, 10> steps{{
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

std::span<step_entry const> all_steps() {
    return steps;
}

} // namespace radishspread::matrix
