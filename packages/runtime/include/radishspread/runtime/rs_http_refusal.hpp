#ifndef RADISHSPREAD_RUNTIME_RS_HTTP_REFUSAL_HPP
#define RADISHSPREAD_RUNTIME_RS_HTTP_REFUSAL_HPP

#include <cstddef>
#include <cstdint>

namespace radishspread::runtime {

/// Why an `http_server` refused a request or closed a connection.
enum class http_refusal : std::uint8_t {
    body,             ///< The request announces a body.
    deadline,         ///< The client sent or read too slowly.
    connections,      ///< Too many connections are open.
    descriptors,      ///< A connection could not be accepted.
    pending_responses ///< Too many bytes wait for clients to take them.
};

inline constexpr std::size_t http_refusal_count = 5;

} // namespace radishspread::runtime

#endif
