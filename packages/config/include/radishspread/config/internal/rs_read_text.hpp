#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_READ_TEXT_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_READ_TEXT_HPP

#include <optional>
#include <string>

namespace radishspread::config {

/// Returns the content of a file, or an empty value if it cannot be read. Stops
/// one byte above the maximum length that the parsers accept: an oversized text
/// is still rejected, and reading a device file ends.
[[nodiscard]] std::optional<std::string> read_text(std::string const& file);

} // namespace radishspread::config

#endif
