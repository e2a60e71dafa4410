#ifndef RADISHSPREAD_CORE_RS_STEP_HPP
#define RADISHSPREAD_CORE_RS_STEP_HPP

#include <cstdint>
#include <string_view>

namespace radishspread {

/// Processing step in which an event or error occurred.
enum class step : std::uint8_t {
    start,
    receive,
    route,
    open,
    admit,
    queue,
    dispatch,
    answer,
    hand_over,
    read_document,
    exchange_digest,
    stop,
};

/// Name of the step, as used in logs and errors.
[[nodiscard]] std::string_view to_string(step value);

} // namespace radishspread

#endif
