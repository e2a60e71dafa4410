#include <fakes/rs_deployment.hpp>

namespace radishspread::fakes {

using namespace std::chrono_literals;

namespace {
constexpr std::uint32_t balancer_network = 0x0a010000; // 10.1.0.0
constexpr std::uint32_t agent_network = 0x0a020000;    // 10.2.0.0
} // namespace

deployment balkonbloei() {
    return {.name = "balkonbloei"};
}

deployment nashama() {
    return {.name = "nashama",
        .slots = 2,
        .inter_domain_delay = 1ms,
        .caller_delay = 1ms};
}

std::uint32_t slots_of(deployment const& it, backend_id id) {
    auto const& pattern = it.slot_pattern;
    return pattern.empty() ? it.slots : pattern[id % pattern.size()];
}

endpoint balancer_endpoint(std::uint32_t number) {
    return {balancer_network + 1 + number, 9000};
}

endpoint agent_endpoint(backend_id id) {
    return {agent_network + id, 9100};
}

domains_section make_domains(deployment const& it) {
    domains_section made;
    for (domain_id id = 1; id <= it.failure_domains; ++id)
        made.failure_domains.push_back({.name = "domain-" + std::to_string(id),
            .id = id,
            .region = "region-1"});
    return made;
}

service_section make_service(deployment const& it, service_id service) {
    service_section made{.name = "service-" + std::to_string(service),
        .id = service,
        .port = static_cast<std::uint16_t>(7000 + service)};
    backend_id first = 1;
    for (service_id other = 1; other < service; ++other)
        first += it.backends_per_service[other - 1];
    auto const n = it.backends_per_service[service - 1];
    for (backend_id id = first; id < first + n; ++id) {
        auto const domain =
            static_cast<domain_id>((id - first) % it.failure_domains + 1);
        made.backend_servers.push_back({.name = "backend-" + std::to_string(id),
            .id = id,
            .domain = domain,
            .domain_name = "domain-" + std::to_string(domain),
            .agent = agent_endpoint(id),
            .slots = slots_of(it, id),
            .connections = it.connections});
    }
    return made;
}

service_id service_of(deployment const& fleet, backend_id id) {
    service_id service = 1;
    for (auto const n : fleet.backends_per_service) {
        if (id <= n)
            return service;
        id -= n;
        ++service;
    }
    return 0;
}

std::string section_name(service_id id) {
    return "service/service-" + std::to_string(id);
}

domain_id domain_of(deployment const& fleet, endpoint agent) {
    auto const id = agent.address - agent_endpoint(0).address;
    backend_id first = 1;
    for (auto const n : fleet.backends_per_service) {
        if (id < first + n)
            return static_cast<domain_id>(
                (id - first) % fleet.failure_domains + 1);
        first += n;
    }
    return 0;
}

} // namespace radishspread::fakes
