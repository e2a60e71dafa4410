#ifndef RADISHSPREAD_CORE_RS_TRACE_CONTEXT_HPP
#define RADISHSPREAD_CORE_RS_TRACE_CONTEXT_HPP

#include <cstdint>

namespace radishspread {

/// W3C trace context: trace id, id of the parent span, flags.
struct trace_context {
    std::uint64_t trace_high = 0;
    std::uint64_t trace_low = 0;
    std::uint64_t parent = 0;
    std::uint8_t flags = 0;

    friend bool operator==(
        trace_context const&, trace_context const&) = default;
};

} // namespace radishspread

#endif
