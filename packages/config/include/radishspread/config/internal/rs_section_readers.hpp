#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_SECTION_READERS_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_SECTION_READERS_HPP

#include <radishspread/config/internal/rs_fault_list.hpp>
#include <radishspread/config/internal/rs_yaml_node.hpp>
#include <radishspread/core/rs_domains_section.hpp>
#include <radishspread/core/rs_hosts_section.hpp>
#include <radishspread/core/rs_service_section.hpp>

#include <string_view>

namespace radishspread::config::internal {

/// These functions read one section from its root node. The result is valid
/// only if no fault was added.
[[nodiscard]] domains_section read_domains(
    yaml_node const& root, fault_list& faults);

/// `name` is the part of the section name after "service/". `domains` may be
/// null, see `parse_section`.
[[nodiscard]] service_section read_service(yaml_node const& root,
    std::string_view name, domains_section const* domains, fault_list& faults);

[[nodiscard]] hosts_section read_hosts(
    yaml_node const& root, fault_list& faults);

} // namespace radishspread::config::internal

#endif
