#include <radishspread/runtime/rs_balancer_actions.hpp>
#include <radishspread/runtime/rs_make_event.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>

namespace radishspread::runtime {

namespace {

constexpr duration retry_interval = std::chrono::seconds(1);

} // namespace

void balancer_actions::section_in_effect(section_ptr const& value) {
    process_.counters().sections_applied.add();
    auto const* content = std::get_if<service_section>(&value->content);
    if (content == nullptr)
        return;
    auto& it = ports_[value->name];
    if (it.is_open && it.service == content->id && it.port == content->port)
        return;
    if (it.is_open) {
        process_.sockets().close(it.service);
        log_port(service_port_closed, it, value->name);
    }
    it = {.service = content->id, .port = content->port, .is_open = false};
    open(it, value->name);
    open_closed_ports();
}

void balancer_actions::open(service_port& it, std::string_view name) {
    endpoint const at{.address = process_.settings().address, .port = it.port};
    auto const ec = process_.sockets().open(it.service, at);
    it.is_open = !ec;
    auto const text =
        ec ? std::string(name) + ": " + ec.message() : std::string(name);
    log_port(ec ? socket_not_opened : service_port_opened, it, text);
}

void balancer_actions::log_port(
    std::uint16_t number, service_port const& it, std::string_view text) {
    endpoint const at{.address = process_.settings().address, .port = it.port};
    auto event = make_event(number, step::receive, at, 0, text);
    event.service = it.service;
    process_.log(event);
}

void balancer_actions::open_closed_ports() {
    for (auto& [name, it] : ports_)
        if (!it.is_open)
            open(it, name);
}

void balancer_actions::tick() {
    if (process_.now() < next_retry_at_)
        return;
    next_retry_at_ = process_.now() + retry_interval;
    open_closed_ports();
}

} // namespace radishspread::runtime
