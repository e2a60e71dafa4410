#ifndef RADISHSPREAD_CORE_RS_HANDOVER_HPP
#define RADISHSPREAD_CORE_RS_HANDOVER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_request_window.hpp>
#include <radishspread/core/rs_stamp.hpp>

namespace radishspread {

/// Requests another agent of the service, the target, to take over one flow.
/// The sender, the source agent, neither runs nor refuses requests of the flow
/// until it has the reply.
///
/// `target` is the incarnation that may take over the flow, so that a repeated
/// message cannot make the target's next incarnation a second owner of the
/// request window. With 0 the message is a query: the reply contains the
/// target's incarnation and whether it would accept the flow.
struct handover {
    stamp origin;
    flow_key flow;
    open_id opening = 0; ///< At the sender; returned in the reply.
    request_window window;
    endpoint reply_to;         ///< Balancer that sent the newest packet.
    incarnation_id target = 0; ///< Incarnation of the target; 0: a query.
};

} // namespace radishspread

#endif
