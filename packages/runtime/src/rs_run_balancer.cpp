#include <radishspread/core/rs_balancer.hpp>
#include <radishspread/core/rs_balancer_events.hpp>
#include <radishspread/runtime/rs_balancer_actions.hpp>
#include <radishspread/runtime/rs_core_driver.hpp>
#include <radishspread/runtime/rs_random_number.hpp>
#include <radishspread/runtime/rs_run.hpp>

namespace radishspread::runtime {

namespace {

class balancer_driver : public core_driver<balancer, balancer_actions> {
public:
    balancer_driver(process& owner, balancer_options options)
        : core_driver(owner, std::move(options)) {
        owner.add_events(balancer_events);
    }

    void tick() override {
        core_.tick(process_.now(), actions_);
        actions_.tick();
    }
    [[nodiscard]] std::size_t outstanding() const override { return 0; }
    void flush() override {}

    void handle_datagrams(socket_key key, receive_batch const& batch,
        std::size_t count) override {
        for (std::size_t n = 0; n < count; ++n)
            if (key == peer_socket)
                handle_peer(batch.data(n), batch.from(n));
            else
                handle_caller(key, batch.data(n), batch.from(n));
    }

private:
    void handle_caller(
        service_id service, std::span<std::byte const> data, endpoint from);
    void handle_peer(std::span<std::byte const> data, endpoint from);
    void handle_deliver(deliver& message, endpoint from);
};

void balancer_driver::handle_caller(
    service_id service, std::span<std::byte const> data, endpoint from) {
    caller_packet_event event{
        .port_service = service, .caller = from, .packet = {}};
    if (auto const ec = wire::decode(data, event.packet))
        return report_malformed(ec, from);
    auto& packet = event.packet;
    process_.counters().count(packet.kind);
    trace_span const span{.name = "balancer.forward",
        .peer = from,
        .service = service,
        .request = packet.request};
    run_traced(packet.trace, span,
        [&] { core_.handle(process_.now(), event, actions_); });
}

void balancer_driver::handle_peer(
    std::span<std::byte const> data, endpoint from) {
    wire::peer_message message;
    if (auto const ec = wire::decode(process_.settings().key, data, message))
        return report_malformed(ec, from);
    if (auto* it = std::get_if<deliver>(&message))
        handle_deliver(*it, from);
    else if (auto const* digest = std::get_if<peer_digest>(&message))
        core_.handle(process_.now(), *digest, actions_);
    else
        report_unexpected(from);
}

void balancer_driver::handle_deliver(deliver& message, endpoint from) {
    trace_span const span{.name = "balancer.reply",
        .peer = from,
        .service = message.reply.service,
        .request = message.reply.request};
    run_traced(message.reply.trace, span,
        [&] { core_.handle(process_.now(), message, actions_); });
}

balancer_options make_options(process const& owner) {
    auto const& settings = owner.settings();
    auto options = settings.balancer;
    options.key = settings.key;
    options.key_id = settings.key_id;
    options.document.self = owner.self();
    options.document.incarnation = random_number();
    options.document.is_balancer = true;
    options.document.failure_domain = settings.failure_domain;
    options.document.peers = settings.peers;
    options.document.seed = random_number();
    return options;
}

} // namespace

int run_balancer(config::settings settings, std::string const& file) {
    start_glog("radishspread-balancer", settings.log_directory);
    process shared(std::move(settings), file);
    balancer_driver core(shared, make_options(shared));
    return shared.run(core);
}

} // namespace radishspread::runtime
