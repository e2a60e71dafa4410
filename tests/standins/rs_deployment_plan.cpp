#include <standins/rs_deployment_plan.hpp>

#include <sstream>

namespace radishspread::standins {

namespace {

constexpr std::uint32_t connections = 2000;
constexpr std::uint16_t first_service_port = 7101;
constexpr std::uint32_t first_agent_host = 51;

} // namespace

deployment_plan balkonbloei() {
    return {"balkonbloei", "nl-west",
        {{"orders", 7, 7, 10, 4096, 0.5}, {"guides", 3, 7, 20, 65536, 1.0}}};
}

deployment_plan nashama() {
    return {"nashama", "amman",
        {{"entries", 7, 2, 5, 4096, 0.5},
            {"startlists", 3, 2, 10, 65536, 1.0}}};
}

std::string to_yaml(domains_section const& it) {
    std::ostringstream out;
    out << "failure_domains:\n";
    for (auto const& domain : it.failure_domains)
        out << "  - name: " << domain.name << "\n    id: " << domain.id
            << "\n    region: " << domain.region
            << "\n    state: " << (domain.is_out ? "out" : "in") << '\n';
    return out.str();
}

std::string to_yaml(service_section const& it, domains_section const& domains) {
    std::ostringstream out;
    out << "service: " << it.name << "\nid: " << it.id << "\nport: " << it.port
        << "\nbackend_servers:\n";
    for (auto const& backend : it.backend_servers)
        out << "  - name: " << backend.name << "\n    id: " << backend.id
            << "\n    failure_domain: "
            << domains.failure_domains.at(backend.domain - 1U).name
            << "\n    agent: " << to_string(backend.agent)
            << "\n    slots: " << backend.slots
            << "\n    connections: " << backend.connections
            << "\n    state: " << (backend.is_draining ? "draining" : "active")
            << '\n';
    return out.str();
}

document_sections make_sections(deployment_plan const& plan,
    std::uint32_t block, std::uint16_t agent_port) {
    document_sections result;
    domain_id last = 0;
    for (auto const* const letter : {"a", "b", "c"})
        result.domains.failure_domains.push_back(
            {plan.region + "-" + letter, ++last, plan.region, false});
    auto const& domains = result.domains.failure_domains;
    backend_id id = 0;
    for (auto const& service : plan.services) {
        auto const n = static_cast<service_id>(result.services.size());
        auto& section = result.services.emplace_back();
        section.name = service.name;
        section.id = n + 1;
        section.port = static_cast<std::uint16_t>(first_service_port + n);
        for (std::size_t k = 0; k < service.backend_servers; ++k, ++id) {
            auto const domain = static_cast<domain_id>(k % domains.size() + 1);
            section.backend_servers.push_back({
                .name = service.name + "-" + std::to_string(k + 1),
                .id = id + 1,
                .domain = domain,
                .domain_name = {},
                .agent = {block + first_agent_host + id, agent_port},
                .slots = service.slots,
                .connections = connections,
                .is_draining = false,
            });
        }
    }
    return result;
}

} // namespace radishspread::standins
