#ifndef RADISHSPREAD_RUNTIME_RS_SETTINGS_CHANGE_HPP
#define RADISHSPREAD_RUNTIME_RS_SETTINGS_CHANGE_HPP

#include <radishspread/config/rs_settings.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace radishspread::runtime {

/// Differences between the settings in effect and the reloaded ones.
struct settings_change {
    /// Changed keys that take effect at once.
    std::vector<std::string_view> applicable;
    /// Changed keys that take effect at the next start.
    std::vector<std::string_view> needs_restart;
};

[[nodiscard]] settings_change compare_settings(
    config::settings const& current, config::settings const& next);

/// Result of reloading a settings file.
struct reload_result {
    std::optional<config::settings> value;
    std::string fault; ///< If there is no value: all faults, or the file error.
};

[[nodiscard]] reload_result read_settings(
    std::string const& file, config::role expected);

} // namespace radishspread::runtime

#endif
