#ifndef RADISHSPREAD_CONFIG_RS_SETTINGS_EVENTS_HPP
#define RADISHSPREAD_CONFIG_RS_SETTINGS_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>

namespace radishspread::config {

/// Numbers of log events about settings.
namespace settings_event {
inline constexpr std::uint16_t read = 1400;
inline constexpr std::uint16_t reloaded = 1401;
inline constexpr std::uint16_t rejected = 1402;
inline constexpr std::uint16_t needs_restart = 1403;
} // namespace settings_event

inline constexpr std::array settings_events{
    event_description{settings_event::read, severity::info, "settings read"},
    event_description{
        settings_event::reloaded, severity::info, "settings reloaded"},
    event_description{settings_event::rejected, severity::error,
        "settings rejected because of faults; previous ones stay in effect"},
    event_description{settings_event::needs_restart, severity::warning,
        "changed setting takes effect after a restart"},
};

} // namespace radishspread::config

#endif
