#ifndef RADISHSPREAD_RUNTIME_RS_HTTP_LIMITS_HPP
#define RADISHSPREAD_RUNTIME_RS_HTTP_LIMITS_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstddef>

namespace radishspread::runtime {

/// Limits of an `http_server`.
struct http_limits {
    /// Also limited by a share of the descriptors of the process.
    std::size_t max_connections = 64;
    /// Bytes of responses that clients have not taken yet. A single response
    /// may be longer.
    std::size_t max_pending_bytes = 8U << 20U;
    /// From the accepted connection to the end of the headers.
    duration header_time = std::chrono::seconds(5);
    /// From the end of the headers to the end of the response.
    duration request_time = std::chrono::seconds(10);
};

} // namespace radishspread::runtime

#endif
