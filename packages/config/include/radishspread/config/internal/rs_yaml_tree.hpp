#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_TREE_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_TREE_HPP

#include <radishspread/config/internal/rs_fault_list.hpp>
#include <radishspread/config/internal/rs_yaml_node.hpp>

#include <cstddef>
#include <string_view>

namespace radishspread::config::internal {

/// Longest text, in bytes: the configuration service's largest value.
inline constexpr std::size_t max_text = 1U << 20U;

/// Deepest nesting; the deepest format of ours has three levels.
inline constexpr std::size_t max_nesting = 8;

/// Most nodes of one text, about 10 MB. The largest section of the target
/// fleet has some 10,000.
inline constexpr std::size_t max_nodes = 100'000;

/// Longest scalar, in bytes.
inline constexpr std::size_t max_scalar = 4096;

/// Parses one YAML document. Returns a null node after a fault. Anchors,
/// aliases, tags and further documents are faults.
[[nodiscard]] yaml_node parse_yaml(std::string_view text, fault_list& faults);

} // namespace radishspread::config::internal

#endif
