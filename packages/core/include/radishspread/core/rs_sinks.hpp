#ifndef RADISHSPREAD_CORE_RS_SINKS_HPP
#define RADISHSPREAD_CORE_RS_SINKS_HPP

#include <radishspread/core/rs_backend_request.hpp>
#include <radishspread/core/rs_caller_reply.hpp>
#include <radishspread/core/rs_deliver.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_forward.hpp>
#include <radishspread/core/rs_handover.hpp>
#include <radishspread/core/rs_handover_reply.hpp>
#include <radishspread/core/rs_log_event.hpp>
#include <radishspread/core/rs_peer_digest.hpp>
#include <radishspread/core/rs_section.hpp>

#include <cstdint>
#include <string_view>

namespace radishspread {

/// Actions that both cores request of their driver. Views passed to a sink are
/// valid only during the call.
template <class Sink>
concept document_sink = requires(Sink& sink, endpoint peer,
    std::string_view name, std::uint64_t after, peer_digest const& digest,
    section_ptr const& value, log_event const& event) {
    sink.read_section(name);        // from the configuration service
    sink.watch(after);              // one long poll; replaces the previous one
    sink.pull_section(peer, name);  // from a peer
    sink.pull_index(peer);          // all names and revisions of a peer
    sink.send_digest(peer, digest); // to a peer, by UDP
    sink.section_in_effect(value);  // a newer revision is now in effect
    // Drop everything received but not yet handled, and the outstanding replies
    // to reads, pulls and the watch: they may date from before the pause.
    sink.discard_queued();
    sink.log(event);
};

/// Actions of the balancer core.
template <class Sink>
concept balancer_sink = document_sink<Sink> && requires(Sink& sink, endpoint to,
    service_id service, forward const& packet, caller_reply const& reply) {
    sink.send_forward(to, packet);
    sink.send_reply(service, to, reply); // from the service's address
};

/// Actions of the agent core.
template <class Sink>
concept agent_sink = document_sink<Sink> && requires(Sink& sink, endpoint to,
    forward const& packet, deliver const& reply, handover const& request,
    handover_reply const& result, backend_request const& dispatch,
    std::uint64_t connection, dispatch_id id) {
    sink.send_forward(to, packet);
    sink.send_deliver(to, reply);
    sink.send_handover(to, request);
    sink.send_handover_reply(to, result);
    sink.connect(connection);    // to the backend server
    sink.ping(connection);       // HTTP/2 PING
    sink.disconnect(connection); // close; its events are no longer reported
    sink.dispatch(connection, dispatch);
    sink.cancel(connection, id); // RST_STREAM with CANCEL
};

} // namespace radishspread

#endif
