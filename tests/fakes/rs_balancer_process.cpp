#include <fakes/rs_balancer_process.hpp>
#include <fakes/rs_simulation.hpp>

namespace radishspread::fakes {

balancer_process::balancer_process(
    simulation& owner, process_info info, balancer_options options)
    : process(owner, info), core_(std::move(options)) {}

void balancer_process::start() {
    core_.start(simulation_.queue.now(), *this);
}

void balancer_process::tick() {
    core_.tick(simulation_.queue.now(), *this);
}

void balancer_process::receive(std::span<std::byte const> datagram) {
    wire::peer_message message;
    if (wire::decode(shared_key, datagram, message))
        return;
    auto const now = simulation_.queue.now();
    if (auto const* const it = std::get_if<deliver>(&message))
        core_.handle(now, *it, *this);
    else if (auto const* const digest = std::get_if<peer_digest>(&message))
        core_.handle(now, *digest, *this);
}

void balancer_process::receive_from_caller(
    service_id port, endpoint caller, std::span<std::byte const> datagram) {
    caller_packet packet;
    if (wire::decode(datagram, packet))
        return;
    simulation_.observer().received(info().self, caller, packet);
    core_.handle(simulation_.queue.now(),
        caller_packet_event{
            .port_service = port, .caller = caller, .packet = packet},
        *this);
}

void balancer_process::stop(duration deadline) {
    is_stopping = true;
    core_.handle(simulation_.queue.now(), stop_event{deadline}, *this);
}

bool balancer_process::is_finished() const {
    return core_.is_finished(simulation_.queue.now());
}

document const& balancer_process::view() const {
    return core_.view();
}

void balancer_process::send_forward(endpoint to, forward const& packet) {
    auto changed = packet;
    auto target = to;
    simulation_.filter().balancer_forwards(target, changed);
    simulation_.observe_stamp(*this, packet.origin);
    simulation_.observe_forward(*this, target, changed);
    simulation_.observer().sent(info().self, target, changed);
    simulation_.send_datagram(*this, target, encoder_.encode(changed));
}

void balancer_process::send_reply(
    service_id /*service*/, endpoint caller, caller_reply const& reply) {
    simulation_.observer().replied(info().self, caller, reply);
    simulation_.send_to_caller(*this, caller, reply);
}

void balancer_process::on(section_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

void balancer_process::on(read_failed_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

void balancer_process::on(watch_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

void balancer_process::on(watch_failed_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

} // namespace radishspread::fakes
