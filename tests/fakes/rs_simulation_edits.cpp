#include <fakes/rs_simulation.hpp>

namespace radishspread::fakes {

void simulation::edit_domains() {
    auto edited =
        std::get<domains_section>(configuration.latest("domains")->content);
    for (auto& it : edited.failure_domains)
        it.is_out = domains_out_[it.id];
    for (auto const& [at, it] : processes_)
        it->set_watch_delay(duration(max_watch_delay.count() > 0
                                         ? random_() % max_watch_delay.count()
                                         : 0));
    auto const held = configuration.publish("domains", std::move(edited));
    record({.what = observation_kind::edited,
        .value = static_cast<std::int64_t>(held)});
}

void simulation::set_domain(domain_id id, bool is_out) {
    domains_out_[id] = is_out;
    record({.what = is_out ? observation_kind::domain_out
                           : observation_kind::domain_in,
        .domain = id});
    edit_domains();
}

void simulation::drain(backend_id id, bool is_draining) {
    auto const name = section_name(service_of(fleet_, id));
    auto edited =
        std::get<service_section>(configuration.latest(name)->content);
    for (auto& it : edited.backend_servers)
        if (it.id == id)
            it.is_draining = is_draining;
    if (is_draining)
        record({.what = observation_kind::leaving, .backend = id});
    configuration.publish(name, std::move(edited));
}

void simulation::set_leaving(backend_id id, bool is_leaving) {
    auto const domain = domain_of(agent_endpoint(id));
    hosts_section edited;
    edited.hosts.push_back(
        {.name = "backend-" + std::to_string(id), .is_leaving = is_leaving});
    if (is_leaving)
        record({.what = observation_kind::leaving, .backend = id});
    configuration.publish(
        "hosts/domain-" + std::to_string(domain), std::move(edited));
}

} // namespace radishspread::fakes
