#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_FAULT_LIST_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_FAULT_LIST_HPP

#include <radishspread/config/internal/rs_yaml_node.hpp>
#include <radishspread/config/rs_fault.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::config::internal {

/// Maximum number of faults reported for one text. Bounds the work on malformed
/// input.
inline constexpr std::size_t max_faults = 100;

/// Collects the faults of one settings file or section.
class fault_list {
public:
    explicit fault_list(std::string_view file) : file_(file) {}

    void add(position where, std::string key, std::string expected);

    [[nodiscard]] bool empty() const { return faults_.empty(); }

    /// Returns the faults in the order of their positions in the text and
    /// clears the list. If there were more than `max_faults`, the last entry
    /// gives the number of omitted faults.
    [[nodiscard]] std::vector<fault> take();

private:
    std::string file_;
    std::vector<fault> faults_;
    std::size_t dropped_ = 0;
};

} // namespace radishspread::config::internal

#endif
