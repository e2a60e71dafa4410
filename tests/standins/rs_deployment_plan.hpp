#ifndef RADISHSPREAD_TESTS_STANDINS_RS_DEPLOYMENT_PLAN_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_DEPLOYMENT_PLAN_HPP

#include <radishspread/core/rs_domains_section.hpp>
#include <radishspread/core/rs_service_section.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::standins {

/// One service of a deployment; all its backend servers are alike.
struct service_plan {
    std::string name;
    std::size_t backend_servers = 0;
    std::uint32_t slots = 0;
    std::uint32_t work_ms = 0;         ///< Per request.
    std::uint32_t max_answer_size = 0; ///< Bytes.
    double idempotent_share = 0;
};

/// Services and balancers of a deployment (docs/design.md, section 3).
struct deployment_plan {
    std::string name;
    std::string region;
    std::vector<service_plan> services;
    std::size_t balancers = 3;
};

// The two deployments at today's size (docs/design.md, section 3).
[[nodiscard]] deployment_plan balkonbloei();
[[nodiscard]] deployment_plan nashama();

/// YAML text of a section of the document.
[[nodiscard]] std::string to_yaml(domains_section const& it);
[[nodiscard]] std::string to_yaml(
    service_section const& it, domains_section const& domains);

/// Sections of the document for a plan with three failure domains. The backend
/// servers of a service are assigned to them round-robin. Agents have the
/// addresses `block` + 51, 52, ... and the port `agent_port`.
struct document_sections {
    domains_section domains;
    std::vector<service_section> services;
};
[[nodiscard]] document_sections make_sections(
    deployment_plan const& plan, std::uint32_t block, std::uint16_t agent_port);

} // namespace radishspread::standins

#endif
