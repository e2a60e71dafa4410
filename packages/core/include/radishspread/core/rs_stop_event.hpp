#ifndef RADISHSPREAD_CORE_RS_STOP_EVENT_HPP
#define RADISHSPREAD_CORE_RS_STOP_EVENT_HPP

#include <radishspread/core/rs_time.hpp>

namespace radishspread {

/// The operator asked for a graceful shutdown.
struct stop_event {
    duration deadline{0}; ///< Time after which the process ends anyway.
};

} // namespace radishspread

#endif
