#ifndef RADISHSPREAD_CORE_RS_DELIVER_HPP
#define RADISHSPREAD_CORE_RS_DELIVER_HPP

#include <radishspread/core/rs_caller_reply.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_stamp.hpp>

namespace radishspread {

/// A reply from an agent to the balancer that sends it to the caller.
struct deliver {
    stamp origin;
    endpoint caller;
    caller_reply reply;
};

} // namespace radishspread

#endif
