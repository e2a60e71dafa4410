#ifndef RADISHSPREAD_CORE_RS_STOP_EVENT_HPP
#define RADISHSPREAD_CORE_RS_STOP_EVENT_HPP

#include <radishspread/core/rs_time.hpp>

namespace radishspread {

/// The operator requested a graceful shutdown.
struct stop_event {
    duration deadline{0}; ///< Limit of the duration of the shutdown.
};

} // namespace radishspread

#endif
