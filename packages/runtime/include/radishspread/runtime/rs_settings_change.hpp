#ifndef RADISHSPREAD_RUNTIME_RS_SETTINGS_CHANGE_HPP
#define RADISHSPREAD_RUNTIME_RS_SETTINGS_CHANGE_HPP

#include <radishspread/config/rs_settings.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace radishspread::runtime {

/// Differences between the settings in effect and those read again.
struct settings_change {
    std::vector<std::string_view> applicable;    ///< Keys that can change now.
    std::vector<std::string_view> needs_restart; ///< Keys that cannot.
};

[[nodiscard]] settings_change compare_settings(
    config::settings const& current, config::settings const& next);

/// Result of reading a settings file again.
struct reload_result {
    std::optional<config::settings> value;
    std::string fault; ///< Why there is no value: all faults, or a file error.
};

[[nodiscard]] reload_result read_settings(
    std::string const& file, config::role expected);

} // namespace radishspread::runtime

#endif
