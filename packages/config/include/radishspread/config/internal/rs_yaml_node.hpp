#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_NODE_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_NODE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace radishspread::config::internal {

/// Position in a text; both from 1, or 0 for the whole text.
struct position {
    int line = 0;
    int column = 0;
};

/// Kind of a YAML node. Quoted scalars are text even if they look like numbers.
enum class node_kind : std::uint8_t { null, plain, quoted, sequence, map };

/// A YAML value and where it stands. Keeps duplicate keys and positions, which
/// YAML::Node loses or hides.
struct yaml_node {
    node_kind kind = node_kind::null;
    position where;
    std::string text; ///< Of a scalar.
    /// Elements of a sequence; keys and values of a map, alternating.
    std::vector<yaml_node> items;
};

/// Name of the kind with its article, for messages.
[[nodiscard]] std::string describe(yaml_node const& it);

} // namespace radishspread::config::internal

#endif
