#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_KEY_READER_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_KEY_READER_HPP

#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/core/rs_fleet_key.hpp>

#include <filesystem>
#include <optional>
#include <string_view>

namespace radishspread::config::internal {

/// Parses a fleet key of 32 hex digits.
[[nodiscard]] std::optional<fleet_key> parse_key(std::string_view text);

/// Reads the fleet key from `key` or from the file named by `key_file`, whose
/// path is relative to `directory`. Faults never quote the key, because it is a
/// secret.
[[nodiscard]] fleet_key read_key(
    map_reader& top, std::filesystem::path const& directory);

} // namespace radishspread::config::internal

#endif
