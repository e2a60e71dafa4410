#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_READ_TEXT_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_READ_TEXT_HPP

#include <optional>
#include <string>

namespace radishspread::config {

/// Content of a file, cut one byte above the longest text that the parsers
/// take, so that a device as file ends. Empty if it cannot be read.
[[nodiscard]] std::optional<std::string> read_text(std::string const& file);

} // namespace radishspread::config

#endif
