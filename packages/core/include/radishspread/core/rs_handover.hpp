#ifndef RADISHSPREAD_CORE_RS_HANDOVER_HPP
#define RADISHSPREAD_CORE_RS_HANDOVER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_request_window.hpp>
#include <radishspread/core/rs_stamp.hpp>

namespace radishspread {

/// Asks another agent of the service to take over one flow. The sender neither
/// runs nor refuses requests of the flow until it has the reply.
///
/// `target` names the incarnation that may take the flow, so that a repeated
/// message cannot make the next incarnation a second owner of the window. 0
/// only asks whether the receiver would take the flow and for its incarnation.
struct handover {
    stamp origin;
    flow_key flow;
    open_id opening = 0; ///< Opening at the sender, repeated in the reply.
    request_window window;
    endpoint reply_to;         ///< Balancer that last delivered a packet.
    incarnation_id target = 0; ///< Incarnation of the receiver; 0: a query.
};

} // namespace radishspread

#endif
