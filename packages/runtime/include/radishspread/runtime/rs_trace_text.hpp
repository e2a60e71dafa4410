#ifndef RADISHSPREAD_RUNTIME_RS_TRACE_TEXT_HPP
#define RADISHSPREAD_RUNTIME_RS_TRACE_TEXT_HPP

#include <radishspread/core/rs_trace_context.hpp>

#include <string>

namespace radishspread::runtime {

/// Value of the W3C header `traceparent`.
[[nodiscard]] std::string traceparent(trace_context const& context);

/// The trace id as 32 hex digits.
[[nodiscard]] std::string trace_id_text(trace_context const& context);

/// The span id as 16 hex digits.
[[nodiscard]] std::string span_id_text(std::uint64_t id);

/// True if the packet's sender set the sampled flag and a trace id.
[[nodiscard]] inline bool is_sampled(trace_context const& context) {
    return (context.flags & 1U) != 0 &&
           (context.trace_high | context.trace_low) != 0;
}

} // namespace radishspread::runtime

#endif
