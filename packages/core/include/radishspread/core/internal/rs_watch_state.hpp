#ifndef RADISHSPREAD_CORE_INTERNAL_RS_WATCH_STATE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_WATCH_STATE_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// The one watch of this process at the configuration service.
struct watch_state {
    std::uint64_t index = 0; ///< Position from the last answer.
    std::uint64_t after = 0; ///< Position that the last watch asked with.
    bool is_waiting = false;
    instant sent;
    instant due; ///< Time of the next watch if none is waiting.
    unsigned failures = 0;
};

} // namespace radishspread::internal

#endif
