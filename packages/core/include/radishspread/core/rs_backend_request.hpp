#ifndef RADISHSPREAD_CORE_RS_BACKEND_REQUEST_HPP
#define RADISHSPREAD_CORE_RS_BACKEND_REQUEST_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_trace_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread {

/// Identifies one dispatch of a request to the backend server.
using dispatch_id = std::uint64_t;

/// A request to send to the backend server as one HTTP/2 stream.
struct backend_request {
    dispatch_id id = 0;
    request_id request = 0;
    bool idempotent = false;
    std::chrono::milliseconds deadline{0}; ///< Remaining time.
    trace_context trace;
    std::span<std::byte const> payload;
};

} // namespace radishspread

#endif
