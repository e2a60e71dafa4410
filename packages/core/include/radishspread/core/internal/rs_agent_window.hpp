#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_WINDOW_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_WINDOW_HPP

#include <radishspread/core/rs_request_window.hpp>

#include <cstdint>

namespace radishspread::agent_internal {

/// Number of request ids that a window covers.
inline constexpr request_id window_size = 64;

/// Position of a request id relative to a window.
enum class window_position : std::uint8_t {
    fresh, ///< Not taken yet.
    taken, ///< Taken by an earlier copy of the request.
    stale, ///< Older than the window; whether it was taken is unknown.
};

[[nodiscard]] window_position position_of(
    request_window const& window, request_id id);

/// Marks `id` as taken and advances the window if `id` is above it.
void take(request_window& window, request_id id);

/// Undoes `take` for a request that was neither dispatched nor refused.
void release(request_window& window, request_id id);

} // namespace radishspread::agent_internal

#endif
