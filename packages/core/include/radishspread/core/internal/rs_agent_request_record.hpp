#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REQUEST_RECORD_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REQUEST_RECORD_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_outcome.hpp>
#include <radishspread/core/rs_reason.hpp>
#include <radishspread/core/rs_trace_context.hpp>

#include <cstdint>

namespace radishspread::agent_internal {

enum class request_state : std::uint8_t {
    queued,
    dispatched,
    answered, ///< The stored answers hold the body unless it was evicted.
    ended,    ///< Refused, or ended with an unknown outcome.
};

/// State and result of a request in the window of a flow.
struct request_record {
    request_id id = 0;
    request_state state = request_state::queued;
    radishspread::outcome outcome = radishspread::outcome::none;
    radishspread::reason reason = radishspread::reason::none;
    std::uint16_t status = 0;
    trace_context trace;
};

} // namespace radishspread::agent_internal

#endif
