#ifndef RADISHSPREAD_CORE_RS_SECTION_EVENT_HPP
#define RADISHSPREAD_CORE_RS_SECTION_EVENT_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_section.hpp>

#include <string_view>

namespace radishspread {

/// A section was read and parsed successfully.
struct section_event {
    section_ptr value;
    endpoint peer; ///< Unset if read from the configuration service.
};

/// A section was read but its content has faults.
struct section_refused_event {
    std::string_view name;
    revision refused = 0;
    std::string_view faults;
    endpoint peer;
};

/// A section could not be read.
struct read_failed_event {
    std::string_view name;
    endpoint peer;
};

} // namespace radishspread

#endif
