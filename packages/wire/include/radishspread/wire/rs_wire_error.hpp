#ifndef RADISHSPREAD_WIRE_RS_WIRE_ERROR_HPP
#define RADISHSPREAD_WIRE_RS_WIRE_ERROR_HPP

#include <system_error>

namespace radishspread::wire {

/// Reason why a datagram was not decoded.
enum class wire_error {
    too_large = 1, ///< Longer than `max_datagram`.
    truncated,     ///< Shorter than the smallest valid datagram.
    wrong_tag,     ///< The tag does not match the fleet key.
    malformed,     ///< The FlatBuffers verifier rejected it.
    unknown_kind,  ///< An enumerator out of range.
    out_of_range,  ///< A value out of its range.
};

[[nodiscard]] std::error_category const& wire_category();
[[nodiscard]] std::error_code make_error_code(wire_error value);

} // namespace radishspread::wire

template <>
struct std::is_error_code_enum<radishspread::wire::wire_error>
    : std::true_type {};

#endif
