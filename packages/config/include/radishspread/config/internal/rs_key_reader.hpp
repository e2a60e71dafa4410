#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_KEY_READER_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_KEY_READER_HPP

#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/core/rs_fleet_key.hpp>

#include <filesystem>
#include <optional>
#include <string_view>

namespace radishspread::config::internal {

/// Parses 32 hex digits.
[[nodiscard]] std::optional<fleet_key> parse_key(std::string_view text);

/// Reads `key` or the file that `key_file` names, relative to `directory`.
/// Faults never quote the key.
[[nodiscard]] fleet_key read_key(
    map_reader& top, std::filesystem::path const& directory);

} // namespace radishspread::config::internal

#endif
