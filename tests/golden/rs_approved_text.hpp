#ifndef RADISHSPREAD_TESTS_GOLDEN_RS_APPROVED_TEXT_HPP
#define RADISHSPREAD_TESTS_GOLDEN_RS_APPROVED_TEXT_HPP

#include <string>

namespace radishspread::golden {

/// Contents of a file; empty if it cannot be read.
[[nodiscard]] std::string read_file(std::string const& path);

/// True if `text` equals the contents of tests/approved/NAME; otherwise prints
/// a unified diff. With RADISHSPREAD_APPROVE=1 in the environment it first
/// overwrites the approved file with `text`.
[[nodiscard]] bool is_approved(
    std::string const& name, std::string const& text);

} // namespace radishspread::golden

#endif
