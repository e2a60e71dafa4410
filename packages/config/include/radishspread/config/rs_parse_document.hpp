#ifndef RADISHSPREAD_CONFIG_RS_PARSE_DOCUMENT_HPP
#define RADISHSPREAD_CONFIG_RS_PARSE_DOCUMENT_HPP

#include <radishspread/config/rs_fault.hpp>
#include <radishspread/core/rs_section.hpp>

#include <span>
#include <string>
#include <vector>

namespace radishspread::config {

/// Text of one section and where it came from.
struct section_source {
    std::string name; ///< Of the section.
    std::string file; ///< Named in faults.
    std::string text;
};

/// Sections without faults, and the faults of all others.
struct parsed_document {
    std::vector<section_ptr> sections;
    std::vector<fault> faults;
};

/// Parses sections that belong together and also checks what no section can
/// check alone: names of failure domains, and numbers, ports and agents that
/// several services use.
[[nodiscard]] parsed_document parse_document(
    std::span<section_source const> sources);

} // namespace radishspread::config

#endif
