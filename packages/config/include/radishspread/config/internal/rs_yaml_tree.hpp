#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_TREE_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_TREE_HPP

#include <radishspread/config/internal/rs_fault_list.hpp>
#include <radishspread/config/internal/rs_yaml_node.hpp>

#include <cstddef>
#include <string_view>

namespace radishspread::config::internal {

/// Maximum length of a text, in bytes. Equals the maximum size of a value in
/// the configuration service.
inline constexpr std::size_t max_text = 1U << 20U;

/// Maximum depth of nesting. Settings and sections use up to three levels.
inline constexpr std::size_t max_nesting = 8;

/// Maximum number of nodes of one text; they take about 10 MB of memory. The
/// largest section of the target fleet has about 10,000 nodes.
inline constexpr std::size_t max_nodes = 100'000;

/// Maximum length of a scalar, in bytes.
inline constexpr std::size_t max_scalar = 4096;

/// Parses one YAML document. Returns a null node if there is a fault. Anchors,
/// aliases, tags and additional documents are reported as faults.
[[nodiscard]] yaml_node parse_yaml(std::string_view text, fault_list& faults);

} // namespace radishspread::config::internal

#endif
