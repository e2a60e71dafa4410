#ifndef RADISHSPREAD_CONFIG_RS_REVIEW_DOCUMENT_HPP
#define RADISHSPREAD_CONFIG_RS_REVIEW_DOCUMENT_HPP

#include <radishspread/config/rs_finding.hpp>
#include <radishspread/core/rs_section.hpp>

#include <span>
#include <vector>

namespace radishspread::config {

/// Finds entries of one document that can never match and values that
/// contradict each other. The document should be whole: hosts and failure
/// domains of services that are left out count as unused.
[[nodiscard]] std::vector<finding> review_document(
    std::span<section_ptr const> sections);

/// Finds what publishing `next` changes in the document `in_force`. Sections
/// that only one of them has are reported as added or removed.
[[nodiscard]] std::vector<finding> compare_documents(
    std::span<section_ptr const> in_force, std::span<section_ptr const> next);

} // namespace radishspread::config

#endif
