#ifndef RADISHSPREAD_CORE_RS_EVENT_DESCRIPTION_HPP
#define RADISHSPREAD_CORE_RS_EVENT_DESCRIPTION_HPP

#include <cstdint>
#include <string_view>

namespace radishspread {

/// Severity of a numbered event.
enum class severity : std::uint8_t { info, warning, error };

/// Entry of the event catalogue. Each component declares a constexpr array:
/// 1000-1099 balancer, 1100-1199 agent, 1200-1299 document, 1300-1399 runtime,
/// 1400-1499 settings, 1500-1599 datagrams, 1600-1699 packet flows.
struct event_description {
    std::uint16_t number = 0;
    radishspread::severity severity = radishspread::severity::info;
    std::string_view text;
};

} // namespace radishspread

#endif
