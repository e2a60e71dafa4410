#ifndef RADISHSPREAD_CALLER_RS_CALLER_SESSION_OPTIONS_HPP
#define RADISHSPREAD_CALLER_RS_CALLER_SESSION_OPTIONS_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_time.hpp>

namespace radishspread {

/// Options of a caller's flow.
struct caller_session_options {
    service_id service = 0;
    flow_id flow = 0;
    duration retransmit_minimum = std::chrono::milliseconds(200);
    duration retransmit_maximum = std::chrono::seconds(2);
    duration open_deadline = std::chrono::seconds(10);
    /// Time without any reply to requests after which the flow is lost. If the
    /// agent's host has failed, no process remains that could reset the flow.
    duration unresponsive_timeout = std::chrono::seconds(10);
    duration keepalive_interval = std::chrono::seconds(15);
};

} // namespace radishspread

#endif
