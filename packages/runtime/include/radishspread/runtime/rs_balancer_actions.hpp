#ifndef RADISHSPREAD_RUNTIME_RS_BALANCER_ACTIONS_HPP
#define RADISHSPREAD_RUNTIME_RS_BALANCER_ACTIONS_HPP

#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/runtime/rs_document_actions.hpp>

#include <map>
#include <string>

namespace radishspread::runtime {

/// Sink of the balancer core: datagrams to agents and callers, and one bound
/// port for each service in effect.
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

    /// Tries again to bind ports that could not be bound, once a second: two
    /// services may exchange their ports in two steps.
    void tick();

private:
    struct service_port {
        service_id service = 0;
        std::uint16_t port = 0;
        bool is_open = false;
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
