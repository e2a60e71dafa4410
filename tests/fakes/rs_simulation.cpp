#include <fakes/rs_agent_process.hpp>
#include <fakes/rs_balancer_process.hpp>
#include <fakes/rs_simulation.hpp>

#include <algorithm>

namespace radishspread::fakes {

using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 50ms;
constexpr duration intra_domain_delay = 100us;
/// Time that the network fabric takes to detect that a balancer was removed.
constexpr duration fabric_delay = 500ms;

} // namespace

simulation::simulation(
    deployment fleet, std::uint64_t seed, action_filter& filter)
    : fleet_(std::move(fleet)), random_(seed), filter_(filter) {
    configuration.publish("domains", make_domains(fleet_));
    backend_id last = 0;
    auto const services =
        static_cast<service_id>(fleet_.backends_per_service.size());
    for (service_id id = 1; id <= services; ++id) {
        auto section = make_service(fleet_, id);
        last = section.backend_servers.back().id;
        configuration.publish(section_name(id), std::move(section));
    }
    for (domain_id id = 1; id <= fleet_.failure_domains; ++id)
        configuration.publish(
            "hosts/domain-" + std::to_string(id), hosts_section{});
    for (backend_id id = 1; id <= last; ++id) {
        backends_[id] = std::make_unique<fake_backend>(queue, log,
            fake_backend_options{.id = id,
                .service = service_of(fleet_, id),
                .domain = domain_of(agent_endpoint(id)),
                .slots = slots_of(fleet_, id),
                .run_time = fleet_.run_time,
                .seed = seed ^ id});
        add_agent(id);
    }
    for (std::uint32_t n = 0; n < fleet_.balancers; ++n)
        add_balancer(n);
}

simulation::~simulation() = default;

void simulation::record(observation it) {
    it.at = queue.now();
    log.push_back(it);
}

process* simulation::find(endpoint it) {
    auto const found = processes_.find(it);
    return found == processes_.end() ? nullptr : found->second.get();
}

fake_backend& simulation::backend(backend_id id) {
    return *backends_.at(id);
}

backend_id simulation::backend_of(endpoint agent) const {
    return agent.address - agent_endpoint(0).address;
}

domain_id simulation::domain_of(endpoint agent) const {
    return fakes::domain_of(fleet_, agent);
}

std::vector<endpoint> simulation::endpoints(bool balancers) const {
    std::vector<endpoint> found;
    for (auto const& [at, it] : processes_)
        if (it->is_balancer() == balancers)
            found.push_back(at);
    return found;
}

namespace {

document_options make_document(
    simulation& it, process_info const& info, bool is_balancer) {
    document_options made{.self = info.self,
        .incarnation = info.incarnation,
        .is_balancer = is_balancer,
        .failure_domain = "domain-" + std::to_string(info.domain),
        .seed = it.random()()};
    for (std::uint32_t n = 0; n < it.fleet().balancers; ++n)
        if (balancer_endpoint(n) != info.self)
            made.peers.push_back(balancer_endpoint(n));
    return made;
}

} // namespace

void simulation::add_balancer(std::uint32_t number) {
    process_info const info{.self = balancer_endpoint(number),
        .domain = static_cast<domain_id>(number % fleet_.failure_domains + 1),
        .incarnation = random_(),
        .generation = ++last_generation_};
    balancer_options const options{
        .document = make_document(*this, info, true), .key = shared_key};
    start_process(std::make_unique<balancer_process>(*this, info, options));
}

void simulation::add_agent(backend_id id) {
    auto const self = agent_endpoint(id);
    process_info const info{.self = self,
        .domain = domain_of(self),
        .incarnation = random_(),
        .generation = ++last_generation_};
    agent_options options{.document = make_document(*this, info, false),
        .key = shared_key,
        .service = service_of(fleet_, id),
        .backend = id,
        .domain = info.domain};
    options.document.service = "service-" + std::to_string(options.service);
    start_process(
        std::make_unique<agent_process>(*this, info, options, backend(id)));
}

void simulation::start_process(std::unique_ptr<process> it) {
    auto const at = it->info().self;
    auto const generation = it->info().generation;
    auto* const started = it.get();
    processes_[at] = std::move(it);
    last_stamp_.erase(at);
    bool const is_known =
        std::find(fabric_.begin(), fabric_.end(), at) != fabric_.end();
    if (started->is_balancer() && !is_known)
        fabric_.push_back(at);
    queue.after(duration(random_() % 1000), [this, at, generation, started] {
        auto* const found = find(at);
        if (found == started && found->info().generation == generation) {
            found->start();
            tick(at, generation);
        }
    });
}

void simulation::tick(endpoint at, std::uint64_t generation) {
    auto* const it = find(at);
    if (it == nullptr || it->info().generation != generation)
        return;
    if (!it->is_paused())
        it->tick();
    if (it->is_stopping && it->is_finished()) {
        record({.what = observation_kind::finished, .process = at});
        if (auto* const stopped = dynamic_cast<agent_process*>(it))
            for (auto const id : stopped->backend().running())
                record({.what = observation_kind::run_cut,
                    .id = id,
                    .backend = backend_of(at)});
        remove(at);
        return;
    }
    queue.after(
        tick_interval, [this, at, generation] { tick(at, generation); });
}

void simulation::remove(endpoint at) {
    processes_.erase(at);
    queue.after(fabric_delay, [this, at] {
        if (find(at) == nullptr)
            std::erase(fabric_, at);
    });
}

void simulation::kill(endpoint at) {
    record({.what = observation_kind::killed, .process = at});
    remove(at);
}

void simulation::stop(endpoint at, duration deadline) {
    auto* const it = find(at);
    if (it == nullptr)
        return;
    record({.what = observation_kind::stopped, .process = at});
    it->stop(deadline);
    if (!filter_.skips_graceful_stop())
        return;
    if (auto* const stopped = dynamic_cast<agent_process*>(it))
        for (auto const id : stopped->backend().running())
            record({.what = observation_kind::run_cut,
                .id = id,
                .backend = backend_of(at)});
    remove(at);
}

void simulation::restart(endpoint at) {
    if (at.address >= agent_endpoint(0).address)
        add_agent(backend_of(at));
    else
        add_balancer(at.address - balancer_endpoint(0).address);
}

void simulation::pause(endpoint at) {
    record({.what = observation_kind::unreachable, .process = at, .value = 1});
    if (auto* const it = find(at))
        it->pause();
}

void simulation::resume(endpoint at) {
    record({.what = observation_kind::reachable, .process = at});
    if (auto* const it = find(at))
        it->resume();
}

void simulation::set_group(endpoint at, int group) {
    auto* const it = find(at);
    if (it == nullptr)
        return;
    record({.what = group == 0 ? observation_kind::reachable
                               : observation_kind::unreachable,
        .process = at});
    it->group = group;
}

bool simulation::can_reach(process const& a, process const& b) const {
    return a.group == b.group;
}

duration simulation::delay(process const& a, process const& b) const {
    bool const is_near = a.info().domain == b.info().domain;
    return is_near ? intra_domain_delay : fleet_.inter_domain_delay;
}

void simulation::send_datagram(
    process& from, endpoint to, std::span<std::byte const> data) {
    auto* const other = find(to);
    duration const base =
        other != nullptr ? delay(from, *other) : fleet_.inter_domain_delay;
    for (auto const extra : faults.draw(random_))
        queue.after(
            base + extra, [this, from = from.info().self, to,
                              copy = std::vector(data.begin(), data.end())] {
                deliver_datagram(from, to, copy);
            });
}

void simulation::deliver_datagram(
    endpoint from, endpoint to, std::vector<std::byte> const& data) {
    auto* const receiver = find(to);
    auto* const sender = find(from);
    if (receiver == nullptr)
        return;
    if (sender != nullptr && !can_reach(*sender, *receiver))
        return;
    receiver->post_datagram([receiver, data] { receiver->receive(data); });
}

void simulation::observe_stamp(process& from, stamp const& it) {
    auto const value = static_cast<std::int64_t>(it.domains_revision);
    auto& last = last_stamp_.try_emplace(it.sender, -1).first->second;
    if (last == value)
        return;
    last = value;
    record({.what = observation_kind::stamp_sent,
        .process = from.info().self,
        .incarnation = from.info().incarnation,
        .value = value});
}

void simulation::observe_forward(
    process& from, endpoint to, forward const& /*it*/) {
    auto const domain = domain_of(to);
    if (domains_out_[domain])
        record({.what = observation_kind::packet_into,
            .domain = domain,
            .process = from.info().self});
}

std::vector<fake_caller*> simulation::long_callers() {
    std::vector<fake_caller*> found;
    for (auto const& [at, it] : callers_)
        if (it->options().is_long)
            found.push_back(it.get());
    return found;
}

fake_caller& simulation::add_caller(service_id service, bool is_long) {
    return add_caller({.service = service, .is_long = is_long});
}

fake_caller& simulation::add_caller(fake_caller_options options) {
    options.address = {0x0a030000 + ++next_caller_, 4000};
    auto& it = callers_[options.address];
    it = std::make_unique<fake_caller>(*this, options);
    it->open();
    return *it;
}

fake_caller* simulation::caller_at(endpoint at) {
    auto const found = callers_.find(at);
    return found == callers_.end() ? nullptr : found->second.get();
}

void simulation::run_until(instant end) {
    while (queue.now() < end) {
        queue.run_until(std::min(queue.now() + tick_interval, end));
        for (auto const& [at, it] : callers_)
            it->tick();
        std::erase_if(callers_,
            [](auto const& entry) { return entry.second->is_finished(); });
    }
}

void simulation::notify_milestone(endpoint caller, milestone what) {
    if (on_milestone)
        on_milestone(caller, what);
}

void simulation::notify_request_milestone(identity id, milestone what) {
    if (!on_milestone)
        return;
    for (auto const& [at, it] : callers_)
        if (it->has_request(id))
            notify_milestone(at, what);
}

void simulation::send_from_caller(
    service_id service, endpoint caller, caller_packet const& packet) {
    wire::encoder encoder(shared_key);
    auto const data = encoder.encode(packet);
    for (auto const extra : faults.draw(random_))
        queue.after(fleet_.caller_delay + extra,
            [this, service, caller,
                copy = std::vector(data.begin(), data.end())] {
                spray(service, caller, copy);
            });
}

void simulation::spray(
    service_id service, endpoint caller, std::vector<std::byte> const& data) {
    if (fabric_.empty())
        return;
    auto* const it = find(fabric_[random_() % fabric_.size()]);
    if (it != nullptr)
        it->post_datagram([it, service, caller, data] {
            it->receive_from_caller(service, caller, data);
        });
}

void simulation::send_to_caller(
    process& /*from*/, endpoint caller, caller_reply const& reply) {
    wire::encoder encoder(shared_key);
    auto const data = encoder.encode(reply);
    for (auto const extra : faults.draw(random_))
        queue.after(fleet_.caller_delay + extra,
            [this, caller, copy = std::vector(data.begin(), data.end())] {
                if (auto* const it = caller_at(caller))
                    it->handle(copy);
            });
}

} // namespace radishspread::fakes
