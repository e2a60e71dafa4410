#include <fakes/rs_agent_process.hpp>
#include <fakes/rs_payload.hpp>
#include <fakes/rs_simulation.hpp>

namespace radishspread::fakes {

agent_process::agent_process(simulation& owner, process_info info,
    agent_options options, fake_backend& backend)
    : process(owner, info), backend_(backend), core_(std::move(options)) {}

agent_process::~agent_process() {
    backend_.disconnect();
}

void agent_process::start() {
    core_.start(simulation_.queue.now(), *this);
}

void agent_process::tick() {
    core_.tick(simulation_.queue.now(), *this);
}

void agent_process::receive(std::span<std::byte const> datagram) {
    wire::peer_message message;
    if (wire::decode(shared_key, datagram, message))
        return;
    auto const now = simulation_.queue.now();
    if (auto* const it = std::get_if<forward>(&message))
        receive_forward(*it);
    else if (auto const* const digest = std::get_if<peer_digest>(&message))
        core_.handle(now, *digest, *this);
    else if (auto const* const request = std::get_if<handover>(&message))
        core_.handle(now, *request, *this);
    else if (auto const* const result = std::get_if<handover_reply>(&message))
        core_.handle(now, *result, *this);
}

void agent_process::receive_forward(forward& it) {
    simulation_.filter().agent_receives(it);
    has_dispatched_ = false;
    core_.handle(simulation_.queue.now(), it, *this);
    bool const is_waiting =
        it.packet.kind == packet_kind::request && !has_dispatched_;
    if (is_waiting)
        simulation_.notify_milestone(it.caller, milestone::queued);
}

void agent_process::stop(duration deadline) {
    is_stopping = true;
    core_.handle(simulation_.queue.now(), stop_event{deadline}, *this);
}

bool agent_process::is_finished() const {
    return core_.is_finished(simulation_.queue.now());
}

document const& agent_process::view() const {
    return core_.view();
}

void agent_process::send_forward(endpoint to, forward const& packet) {
    if (packet.packet.kind == packet_kind::open)
        simulation_.notify_milestone(packet.caller, milestone::passed_on);
    simulation_.observe_stamp(*this, packet.origin);
    simulation_.observe_forward(*this, to, packet);
    simulation_.observer().sent(info().self, to, packet);
    simulation_.send_datagram(*this, to, encoder_.encode(packet));
}

void agent_process::send_deliver(endpoint to, deliver const& reply) {
    auto changed = reply;
    simulation_.filter().agent_replies(changed.reply);
    simulation_.observe_stamp(*this, reply.origin);
    simulation_.observer().sent(info().self, to, changed);
    auto const& it = changed.reply;
    if (it.kind == reply_kind::opened)
        simulation_.record({.what = observation_kind::new_flow_at,
            .backend = backend_.options().id,
            .domain = info().domain,
            .process = info().self});
    bool const is_part = it.kind == reply_kind::answer &&
                         it.offset + it.payload.size() < it.total;
    if (is_part)
        simulation_.notify_milestone(changed.caller, milestone::answering);
    simulation_.send_datagram(*this, to, encoder_.encode(changed));
}

void agent_process::send_handover(endpoint to, handover const& request) {
    simulation_.observe_stamp(*this, request.origin);
    simulation_.observer().sent(info().self, to, request);
    simulation_.send_datagram(*this, to, encoder_.encode(request));
}

void agent_process::send_handover_reply(
    endpoint to, handover_reply const& result) {
    simulation_.observe_stamp(*this, result.origin);
    simulation_.observer().sent(info().self, to, result);
    simulation_.send_datagram(*this, to, encoder_.encode(result));
}

void agent_process::connect(std::uint64_t connection) {
    auto handler = [owner = &simulation_, at = info().self,
                       generation = info().generation](
                       backend_event const& event,
                       std::vector<std::byte> body) {
        auto* const it = dynamic_cast<agent_process*>(owner->find(at));
        if (it == nullptr || it->info().generation != generation)
            return;
        it->post([it, event, body = std::move(body)] {
            it->on_backend(event, body);
        });
    };
    backend_.connect(connection, std::move(handler));
}

void agent_process::on_backend(
    backend_event event, std::vector<std::byte> const& body) {
    event.body = body;
    simulation_.filter().agent_receives_event(event);
    core_.handle(simulation_.queue.now(), event, *this);
}

void agent_process::ping(std::uint64_t /*connection*/) {
    backend_.ping();
}

void agent_process::disconnect(std::uint64_t /*connection*/) {
    backend_.disconnect();
}

void agent_process::dispatch(
    std::uint64_t /*connection*/, backend_request const& request) {
    has_dispatched_ = true;
    auto const to = simulation_.filter().dispatch_target(backend_.options().id);
    simulation_.observer().dispatched(info().self, request);
    auto const id = read_payload(request.payload).id;
    simulation_.backend(to).dispatch(request);
    simulation_.notify_request_milestone(id, milestone::dispatched);
}

void agent_process::cancel(std::uint64_t /*connection*/, dispatch_id id) {
    backend_.cancel(id);
}

void agent_process::on(section_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

void agent_process::on(read_failed_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

void agent_process::on(watch_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

void agent_process::on(watch_failed_event const& event) {
    core_.handle(simulation_.queue.now(), event, *this);
}

} // namespace radishspread::fakes
