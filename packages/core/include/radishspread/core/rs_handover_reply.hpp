#ifndef RADISHSPREAD_CORE_RS_HANDOVER_REPLY_HPP
#define RADISHSPREAD_CORE_RS_HANDOVER_REPLY_HPP

#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_reason.hpp>
#include <radishspread/core/rs_route_cookie.hpp>
#include <radishspread/core/rs_stamp.hpp>

#include <optional>

namespace radishspread {

/// Reply to a handover or to its query.
struct handover_reply {
    stamp origin;
    flow_key flow;
    open_id opening = 0; ///< Copied from the `handover`.
    std::optional<route_cookie>
        cookie; ///< Empty if the flow was not taken over.
    radishspread::reason reason = radishspread::reason::none;
    incarnation_id target = 0; ///< Copied from the `handover`.
};

} // namespace radishspread

#endif
