#ifndef RADISHSPREAD_TESTS_FAKES_RS_ACTION_FILTER_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_ACTION_FILTER_HPP

#include <radishspread/core/rs_backend_event.hpp>
#include <radishspread/core/rs_caller_reply.hpp>
#include <radishspread/core/rs_forward.hpp>
#include <radishspread/core/rs_section.hpp>

namespace radishspread::fakes {

/// Modifies the inputs or outputs of a core. The default changes nothing. Each
/// mutation overrides one function, to prove that the checker detects the
/// resulting fault.
struct action_filter {
    virtual ~action_filter() = default;

    /// Called before a balancer forwards a packet.
    virtual void balancer_forwards(endpoint& /*to*/, forward& /*packet*/) {}
    /// Called before an agent handles a forwarded packet.
    virtual void agent_receives(forward& /*packet*/) {}
    /// Called before an agent sends a reply to a caller.
    virtual void agent_replies(caller_reply& /*reply*/) {}
    /// Called before a process handles a section that it has read; null makes
    /// the read fail.
    virtual section_ptr process_receives(section_ptr value) { return value; }
    /// Called before an agent handles an event of its backend server.
    virtual void agent_receives_event(backend_event& /*event*/) {}
    /// Returns the backend server to which an agent's request is dispatched.
    virtual backend_id dispatch_target(backend_id own) { return own; }
    /// True if a planned stop ends the process at once, without its graceful
    /// shutdown.
    virtual bool skips_graceful_stop() { return false; }
};

} // namespace radishspread::fakes

#endif
