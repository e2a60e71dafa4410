#ifndef RADISHSPREAD_TESTS_FAKES_RS_DEPLOYMENT_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_DEPLOYMENT_HPP

#include <radishspread/core/rs_domains_section.hpp>
#include <radishspread/core/rs_service_section.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace radishspread::fakes {

/// Sizes and network delays of a simulated fleet.
struct deployment {
    std::string name;
    std::uint16_t failure_domains = 3;
    std::uint32_t balancers = 3;
    std::uint32_t slots = 7;
    /// Slots of the backend server with number `id` are at position `id` modulo
    /// the size. If empty, each one has `slots`.
    std::vector<std::uint32_t> slot_pattern;
    std::uint32_t connections = 2000;
    std::vector<std::uint32_t> backends_per_service{7, 3};
    /// One-way delay between processes of different failure domains.
    duration inter_domain_delay = std::chrono::microseconds(500);
    /// One-way delay between callers and balancers.
    duration caller_delay = std::chrono::milliseconds(3);
    /// Mean time that a backend server runs a request.
    duration run_time = std::chrono::milliseconds(60);
};

/// Slots of one backend server.
[[nodiscard]] std::uint32_t slots_of(deployment const& it, backend_id id);

/// The two reference deployments, by name.
[[nodiscard]] deployment balkonbloei();
[[nodiscard]] deployment nashama();

/// Endpoints at which processes receive datagrams of other processes.
/// Balancers are numbered from 0, backend servers from 1.
[[nodiscard]] endpoint balancer_endpoint(std::uint32_t number);
[[nodiscard]] endpoint agent_endpoint(backend_id id);

/// Service of a backend server, and the name of that service's section.
[[nodiscard]] service_id service_of(deployment const& fleet, backend_id id);
[[nodiscard]] std::string section_name(service_id id);

/// Failure domain of an agent; 0 if the deployment has no such agent.
[[nodiscard]] domain_id domain_of(deployment const& fleet, endpoint agent);

/// Sections of the configuration that describe the deployment.
[[nodiscard]] domains_section make_domains(deployment const& it);
[[nodiscard]] service_section make_service(
    deployment const& it, service_id service);

} // namespace radishspread::fakes

#endif
