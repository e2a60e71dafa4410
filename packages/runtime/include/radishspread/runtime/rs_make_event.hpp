#ifndef RADISHSPREAD_RUNTIME_RS_MAKE_EVENT_HPP
#define RADISHSPREAD_RUNTIME_RS_MAKE_EVENT_HPP

#include <radishspread/core/rs_log_event.hpp>

namespace radishspread::runtime {

/// Makes a log event of a step and optionally a peer, without a flow.
[[nodiscard]] inline log_event make_event(std::uint16_t number,
    radishspread::step at, endpoint peer = {}, std::int64_t value = 0,
    std::string_view text = {}) {
    log_event out;
    out.number = number;
    out.step = at;
    out.peer = peer;
    out.value = value;
    out.text = text;
    return out;
}

} // namespace radishspread::runtime

#endif
