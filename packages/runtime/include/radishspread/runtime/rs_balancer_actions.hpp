#ifndef RADISHSPREAD_RUNTIME_RS_BALANCER_ACTIONS_HPP
#define RADISHSPREAD_RUNTIME_RS_BALANCER_ACTIONS_HPP

#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/runtime/rs_document_actions.hpp>

#include <map>
#include <string>

namespace radishspread::runtime {

/// Sink of the balancer core: sends datagrams to agents and callers, and binds
/// one UDP port for each service whose section is in effect.
class balancer_actions : public document_actions {
public:
    using document_actions::document_actions;

    void section_in_effect(section_ptr const& value);
    void send_forward(endpoint to, forward const& packet) {
        send(peer_socket, to, packet);
    }
    void send_reply(service_id service, endpoint to, caller_reply const& it) {
        process_.counters().count(it);
        send(service, to, it);
    }

    /// Retries once a second to bind ports that could not be bound. When two
    /// services swap ports, the sections take effect one after the other, so
    /// the first bind fails until the second service has released its port.
    void tick();

private:
    struct service_port {
        service_id service = 0;
        std::uint16_t port = 0;
        bool is_open = false; ///< The port is bound.
    };

    void open(service_port& it, std::string_view name);
    void open_closed_ports();
    void log_port(
        std::uint16_t number, service_port const& it, std::string_view text);

    std::map<std::string, service_port, std::less<>> ports_;
    instant next_retry_at_;
};

static_assert(balancer_sink<balancer_actions>);

} // namespace radishspread::runtime

#endif
