#ifndef RADISHSPREAD_CORE_RS_LOG_EVENT_HPP
#define RADISHSPREAD_CORE_RS_LOG_EVENT_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_reason.hpp>
#include <radishspread/core/rs_step.hpp>

#include <cstdint>
#include <string_view>

namespace radishspread {

/// A numbered event; the catalogue is in docs/events.md.
struct log_event {
    std::uint16_t number = 0;
    radishspread::step step = radishspread::step::start;
    endpoint peer; ///< Unset if the event concerns no peer.
    service_id service = 0;
    flow_id flow = 0;
    request_id request = 0;
    radishspread::reason reason = radishspread::reason::none;
    std::int64_t value = 0; ///< Meaning depends on the event.
    std::string_view text;  ///< Section name or similar; valid during the call.
};

} // namespace radishspread

#endif
