#ifndef RADISHSPREAD_CONFIG_RS_PARSE_DOCUMENT_HPP
#define RADISHSPREAD_CONFIG_RS_PARSE_DOCUMENT_HPP

#include <radishspread/config/rs_fault.hpp>
#include <radishspread/core/rs_section.hpp>

#include <span>
#include <string>
#include <vector>

namespace radishspread::config {

/// Text of one section and its origin.
struct section_source {
    std::string name; ///< Name of the section.
    std::string file; ///< Name of the file, for faults.
    std::string text;
};

/// The valid sections, and the faults of all sections.
struct parsed_document {
    std::vector<section_ptr> sections;
    std::vector<fault> faults;
};

/// Parses the sections of one document and validates them against each other:
/// names of failure domains must exist, and ids, ports and agents must not be
/// used by several services.
[[nodiscard]] parsed_document parse_document(
    std::span<section_source const> sources);

} // namespace radishspread::config

#endif
