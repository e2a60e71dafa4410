#ifndef RADISHSPREAD_CORE_RS_CALLER_REPLY_HPP
#define RADISHSPREAD_CORE_RS_CALLER_REPLY_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_outcome.hpp>
#include <radishspread/core/rs_reason.hpp>
#include <radishspread/core/rs_route_cookie.hpp>
#include <radishspread/core/rs_trace_context.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishspread {

/// Kind of a reply to a caller.
enum class reply_kind : std::uint8_t {
    opened,  ///< The flow is reserved; `cookie` names its agent.
    answer,  ///< Part of the answer to `request`.
    refused, ///< `request` or the opening is refused.
    reset,   ///< The flow has ended; `outcome` is that of `request`, if set.
    moved,   ///< The flow has a new cookie.
};

/// A reply to a caller.
struct caller_reply {
    reply_kind kind = reply_kind::opened;
    service_id service = 0;
    flow_id flow = 0;
    std::optional<route_cookie> cookie;
    request_id request = 0;
    radishspread::outcome outcome = radishspread::outcome::none;
    radishspread::reason reason = radishspread::reason::none;
    std::uint16_t status = 0; ///< HTTP status of the response.
    std::uint32_t offset = 0; ///< Position of `payload` in the answer, bytes.
    std::uint32_t total = 0;  ///< Length of the whole answer, bytes.
    trace_context trace;
    std::span<std::byte const> payload;
};

} // namespace radishspread

#endif
