#ifndef RADISHSPREAD_TESTS_FAKES_RS_ACTION_FILTER_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_ACTION_FILTER_HPP

#include <radishspread/core/rs_backend_event.hpp>
#include <radishspread/core/rs_caller_reply.hpp>
#include <radishspread/core/rs_forward.hpp>
#include <radishspread/core/rs_section.hpp>

namespace radishspread::fakes {

/// Changes what a core sees or does. The default changes nothing; mutations
/// override one function each to prove that the checker notices.
struct action_filter {
    virtual ~action_filter() = default;

    /// A balancer is about to forward a packet.
    virtual void balancer_forwards(endpoint& /*to*/, forward& /*it*/) {}
    /// An agent is about to receive a packet.
    virtual void agent_receives(forward& /*it*/) {}
    /// An agent is about to reply.
    virtual void agent_replies(caller_reply& /*it*/) {}
    /// A process is about to learn a section.
    virtual section_ptr process_receives(section_ptr it) { return it; }
    /// An agent is about to learn of an event at its backend server.
    virtual void agent_receives_event(backend_event& /*it*/) {}
    /// An agent is about to dispatch; returns the backend server's number.
    virtual backend_id dispatch_target(backend_id own) { return own; }
    /// True if a planned stop ends the process without its own shutdown.
    virtual bool skips_graceful_stop() { return false; }
};

} // namespace radishspread::fakes

#endif
