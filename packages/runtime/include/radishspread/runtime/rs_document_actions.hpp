#ifndef RADISHSPREAD_RUNTIME_RS_DOCUMENT_ACTIONS_HPP
#define RADISHSPREAD_RUNTIME_RS_DOCUMENT_ACTIONS_HPP

#include <radishspread/runtime/rs_process.hpp>

#include <string_view>

namespace radishspread::runtime {

/// Actions of the document, common to the sinks of the balancer and the agent.
class document_actions {
public:
    explicit document_actions(process& owner) : process_(owner) {}

    void read_section(std::string_view name) {
        process_.sections().read(process_.now(), name);
    }
    void watch(std::uint64_t after) {
        process_.sections().watch(process_.now(), after);
    }
    void pull_section(endpoint peer, std::string_view name) {
        process_.sections().pull_section(process_.now(), peer, name);
    }
    void pull_index(endpoint peer) {
        process_.sections().pull_index(process_.now(), peer);
    }
    void send_digest(endpoint peer, peer_digest const& digest) {
        send(peer_socket, peer, digest);
    }
    void discard_queued() { process_.discard_queued(); }
    void log(log_event const& event) { process_.log(event); }

protected:
    template <class Message>
    void send(socket_key key, endpoint to, Message const& message) {
        process_.sockets().send(key, to, process_.encoder().encode(message));
    }

    process& process_;
};

} // namespace radishspread::runtime

#endif
