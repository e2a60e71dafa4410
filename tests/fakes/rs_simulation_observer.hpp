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

/// Sees the events and actions of all processes as they happen. The default
/// ignores them. Periodic digests and watches are not shown.
struct simulation_observer {
    virtual ~simulation_observer() = default;

    virtual void logged(endpoint /*at*/, log_event const& /*event*/) {}
    /// A balancer received a caller's packet, or sent a reply.
    virtual void received(
        endpoint /*at*/, endpoint /*caller*/, caller_packet const& /*it*/) {}
    virtual void replied(
        endpoint /*at*/, endpoint /*caller*/, caller_reply const& /*it*/) {}
    /// A process sent a datagram to another one.
    virtual void sent(endpoint /*at*/, endpoint /*to*/, forward const& /*it*/) {
    }
    virtual void sent(endpoint /*at*/, endpoint /*to*/, deliver const& /*it*/) {
    }
    virtual void sent(
        endpoint /*at*/, endpoint /*to*/, handover const& /*it*/) {}
    virtual void sent(
        endpoint /*at*/, endpoint /*to*/, handover_reply const& /*it*/) {}
    /// An agent gave its backend server a request.
    virtual void dispatched(endpoint /*at*/, backend_request const& /*it*/) {}
    /// A process asks for a section; `from` is unset for the configuration
    /// service.
    virtual void reads_section(
        endpoint /*at*/, endpoint /*from*/, std::string_view /*section*/) {}
};

} // namespace radishspread::fakes

#endif
