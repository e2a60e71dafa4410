#ifndef RADISHSPREAD_CORE_RS_CALLER_PACKET_EVENT_HPP
#define RADISHSPREAD_CORE_RS_CALLER_PACKET_EVENT_HPP

#include <radishspread/core/rs_caller_packet.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>

namespace radishspread {

/// A caller's packet arrived at a service's port of a balancer.
struct caller_packet_event {
    service_id port_service = 0; ///< Service whose port received the packet.
    endpoint caller;
    caller_packet packet;
};

} // namespace radishspread

#endif
