#ifndef RADISHSPREAD_CONFIG_RS_PARSE_SECTION_HPP
#define RADISHSPREAD_CONFIG_RS_PARSE_SECTION_HPP

#include <radishspread/config/rs_fault.hpp>
#include <radishspread/core/rs_section.hpp>

#include <string_view>
#include <vector>

namespace radishspread::config {

/// Result of parsing. Has a section if and only if there are no faults.
struct parsed_section {
    section_ptr value;
    std::vector<fault> faults;
};

/// Parses and validates one section. `domains` resolves names of failure
/// domains to ids; if it is null, the ids are 0 and the names are not checked.
[[nodiscard]] parsed_section parse_section(std::string_view name, revision held,
    std::string_view text, domains_section const* domains = nullptr);

} // namespace radishspread::config

#endif
