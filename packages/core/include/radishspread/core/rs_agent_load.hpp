#ifndef RADISHSPREAD_CORE_RS_AGENT_LOAD_HPP
#define RADISHSPREAD_CORE_RS_AGENT_LOAD_HPP

#include <cstddef>
#include <cstdint>

namespace radishspread {

/// Current use of an agent's resources, for metrics.
struct agent_load {
    std::uint32_t slots = 0;  ///< From the service's section.
    std::uint32_t bound = 0;  ///< Requests that may be outstanding now.
    std::size_t occupied = 0; ///< Requests outstanding.
    std::size_t reserved = 0; ///< Reservations that count as load.
    std::size_t queued = 0;   ///< Requests waiting for a slot.
    std::size_t flows = 0;    ///< Flows held, reservations included.
    std::size_t moved = 0;    ///< Flows handed over and still forwarded.
    std::size_t stored_answer_bytes = 0; ///< Stored answers, in bytes.
};

} // namespace radishspread

#endif
