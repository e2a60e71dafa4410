#ifndef RADISHSPREAD_RUNTIME_RS_AGENT_ACTIONS_HPP
#define RADISHSPREAD_RUNTIME_RS_AGENT_ACTIONS_HPP

#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/runtime/rs_backend_session.hpp>
#include <radishspread/runtime/rs_document_actions.hpp>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace radishspread::runtime {

/// Sink of the agent core: sends datagrams to balancers and other agents, and
/// manages the HTTP/2 sessions to the backend server.
class agent_actions : public document_actions {
public:
    using event_callback = std::function<void(backend_event const&)>;

    agent_actions(process& owner, event_callback callback)
        : document_actions(owner), callback_(std::move(callback)) {}

    void section_in_effect(section_ptr const&) {
        process_.counters().sections_applied.add();
    }
    void send_forward(endpoint to, forward const& packet) {
        send(peer_socket, to, packet);
    }
    void send_deliver(endpoint to, deliver const& message) {
        process_.counters().count(message.reply);
        send(peer_socket, to, message);
    }
    void send_handover(endpoint to, handover const& message) {
        send(peer_socket, to, message);
    }
    void send_handover_reply(endpoint to, handover_reply const& message) {
        send(peer_socket, to, message);
    }

    void connect(std::uint64_t connection);
    void ping(std::uint64_t connection);
    void disconnect(std::uint64_t connection);
    void dispatch(std::uint64_t connection, backend_request const& request);
    void cancel(std::uint64_t connection, dispatch_id id);

    /// Sends the queued frames of all sessions; called before each poll.
    void flush();

private:
    /// A request sent to the backend server and not yet ended.
    struct dispatched_request {
        std::uint64_t connection = 0;
        instant sent_at;
        trace_span span; ///< Its id is 0 if the request is not traced.
    };

    void handle(backend_event const& event);
    void finish(dispatch_id id, std::string_view result);
    void log_closed(std::uint64_t connection);

    event_callback callback_;
    std::map<std::uint64_t, std::unique_ptr<backend_session>> sessions_;
    /// Closed sessions, destroyed by the next `flush`: their own callbacks may
    /// still be on the stack when they are closed.
    std::vector<std::unique_ptr<backend_session>> retired_;
    std::unordered_map<dispatch_id, dispatched_request> dispatched_requests_;
};

static_assert(agent_sink<agent_actions>);

} // namespace radishspread::runtime

#endif
