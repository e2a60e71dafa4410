#ifndef RADISHSPREAD_CORE_RS_BACKEND_EVENT_HPP
#define RADISHSPREAD_CORE_RS_BACKEND_EVENT_HPP

#include <radishspread/core/rs_backend_request.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread {

/// Kind of event on a connection to the backend server.
enum class backend_event_kind : std::uint8_t {
    connected,  ///< `max_streams` holds the backend server's limit.
    limit,      ///< The backend server changed `max_streams`.
    progress,   ///< Data was received, including the reply to a PING.
    responded,  ///< `id` ended with `status` and `body`.
    refused,    ///< `id` did not run: not sent, REFUSED_STREAM, or above the
                ///< last stream of a GOAWAY.
    lost,       ///< `id` ended without a response and may have run.
    going_away, ///< GOAWAY: the backend server takes no new streams.
    closed,     ///< The connection was closed; all its requests were reported
                ///< before.
};

/// An event on the connection with the number `connection`.
struct backend_event {
    backend_event_kind kind = backend_event_kind::progress;
    std::uint64_t connection = 0; ///< From the `connect` action.
    std::uint32_t max_streams = 0;
    dispatch_id id = 0;
    std::uint16_t status = 0;
    std::span<std::byte const> body;
};

} // namespace radishspread

#endif
