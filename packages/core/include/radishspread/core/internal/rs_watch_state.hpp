#ifndef RADISHSPREAD_CORE_INTERNAL_RS_WATCH_STATE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_WATCH_STATE_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// State of this process's single watch of the configuration service.
struct watch_state {
    std::uint64_t index = 0; ///< Position from the last reply.
    std::uint64_t after = 0; ///< Position that the last watch was sent with.
    bool is_waiting = false; ///< A reply is awaited.
    instant sent;
    instant due; ///< Time of the next watch while no reply is awaited.
    unsigned failures = 0;
};

} // namespace radishspread::internal

#endif
