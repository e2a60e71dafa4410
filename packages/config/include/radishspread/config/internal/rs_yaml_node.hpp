#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_NODE_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_YAML_NODE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace radishspread::config::internal {

/// Position in a text. Both numbers start at 1; 0 stands for the whole text.
struct position {
    int line = 0;
    int column = 0;
};

/// Kind of a YAML node. A quoted scalar is a string even if it looks like a
/// number.
enum class node_kind : std::uint8_t { null, plain, quoted, sequence, map };

/// A YAML value and its position. Unlike YAML::Node, it preserves duplicate
/// keys and the positions of all values.
struct yaml_node {
    node_kind kind = node_kind::null;
    position where;
    std::string text; ///< Value of a scalar.
    /// Elements of a sequence, or alternating keys and values of a map.
    std::vector<yaml_node> items;
};

/// Describes a node for messages: the value of a scalar, or the kind of any
/// other node with its article.
[[nodiscard]] std::string describe(yaml_node const& it);

} // namespace radishspread::config::internal

#endif
