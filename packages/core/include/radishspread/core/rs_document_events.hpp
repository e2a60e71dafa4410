#ifndef RADISHSPREAD_CORE_RS_DOCUMENT_EVENTS_HPP
#define RADISHSPREAD_CORE_RS_DOCUMENT_EVENTS_HPP

#include <radishspread/core/rs_event_description.hpp>

#include <array>

namespace radishspread {

/// Numbers of the document's events.
namespace document_event {
inline constexpr std::uint16_t section_in_effect = 1200;
inline constexpr std::uint16_t section_refused = 1201;
inline constexpr std::uint16_t section_over_limit = 1202;
inline constexpr std::uint16_t service_conflict = 1203;
inline constexpr std::uint16_t read_failed = 1204;
inline constexpr std::uint16_t older_revision = 1205;
inline constexpr std::uint16_t watch_failed = 1206;
inline constexpr std::uint16_t process_paused = 1207;
inline constexpr std::uint16_t view_proven = 1208;
inline constexpr std::uint16_t view_unproven = 1209;
} // namespace document_event

/// Catalogue of the document's events.
inline constexpr std::array document_events{
    event_description{document_event::section_in_effect, severity::info,
        "section in effect; value: revision"},
    event_description{document_event::section_refused, severity::error,
        "section refused, the last valid revision stays in effect; value: "
        "revision"},
    event_description{document_event::section_over_limit, severity::error,
        "section refused, a limit is exceeded; value: revision"},
    event_description{document_event::service_conflict, severity::error,
        "section refused, another section uses its service id or port; value: "
        "revision"},
    event_description{document_event::read_failed, severity::warning,
        "section read failed, will retry; value: consecutive failures"},
    event_description{document_event::older_revision, severity::warning,
        "older revision of a section ignored; value: revision"},
    event_description{document_event::watch_failed, severity::warning,
        "watch failed, will retry; value: consecutive failures"},
    event_description{document_event::process_paused, severity::warning,
        "process was paused, view must be proven again; value: pause in ms"},
    event_description{document_event::view_proven, severity::info,
        "view proven fresh; value: duration of the proof in ms"},
    event_description{document_event::view_unproven, severity::warning,
        "view still unproven, only established flows are served; value: "
        "elapsed time in ms"},
};

} // namespace radishspread

#endif
