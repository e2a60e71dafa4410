#ifndef RADISHSPREAD_TESTS_FAKES_RS_SIMULATION_OBSERVER_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_SIMULATION_OBSERVER_HPP

#include <radishspread/core/rs_backend_request.hpp>
#include <radishspread/core/rs_deliver.hpp>
#include <radishspread/core/rs_forward.hpp>
#include <radishspread/core/rs_handover.hpp>
#include <radishspread/core/rs_handover_reply.hpp>
#include <radishspread/core/rs_log_event.hpp>

#include <string_view>

namespace radishspread::fakes {

/// Receives the events and actions of all processes as they occur. The default
/// ignores them. Periodic digests and watches are not reported.
struct simulation_observer {
    virtual ~simulation_observer() = default;

    virtual void logged(endpoint /*at*/, log_event const& /*event*/) {}
    /// A balancer received a packet of a caller, or sent it a reply.
    virtual void received(
        endpoint /*at*/, endpoint /*caller*/, caller_packet const& /*it*/) {}
    virtual void replied(
        endpoint /*at*/, endpoint /*caller*/, caller_reply const& /*it*/) {}
    /// A process sent a datagram to another process.
    virtual void sent(endpoint /*at*/, endpoint /*to*/, forward const& /*it*/) {
    }
    virtual void sent(endpoint /*at*/, endpoint /*to*/, deliver const& /*it*/) {
    }
    virtual void sent(
        endpoint /*at*/, endpoint /*to*/, handover const& /*it*/) {}
    virtual void sent(
        endpoint /*at*/, endpoint /*to*/, handover_reply const& /*it*/) {}
    /// An agent dispatched a request to its backend server.
    virtual void dispatched(endpoint /*at*/, backend_request const& /*it*/) {}
    /// A process reads a section from the peer `from`, or from the
    /// configuration service if `from` is unset.
    virtual void reads_section(
        endpoint /*at*/, endpoint /*from*/, std::string_view /*section*/) {}
};

} // namespace radishspread::fakes

#endif
