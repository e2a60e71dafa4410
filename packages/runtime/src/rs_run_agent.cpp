#include <radishspread/core/rs_agent_events.hpp>
#include <radishspread/runtime/rs_agent_actions.hpp>
#include <radishspread/runtime/rs_core_driver.hpp>
#include <radishspread/runtime/rs_deferred_agent.hpp>
#include <radishspread/runtime/rs_random_number.hpp>
#include <radishspread/runtime/rs_run.hpp>

namespace radishspread::runtime {

namespace {

class agent_driver : public core_driver<deferred_agent, agent_actions> {
public:
    agent_driver(process& owner, agent_options options)
        : core_driver(
              owner, std::move(options), [this](backend_event const& event) {
                  core_.handle(process_.now(), event, actions_);
              }) {
        owner.add_events(agent_events);
    }

    void tick() override { core_.tick(process_.now(), actions_); }
    [[nodiscard]] std::size_t outstanding() const override {
        return core_.outstanding();
    }
    void flush() override { actions_.flush(); }

    void handle_datagrams(
        socket_key, receive_batch const& batch, std::size_t count) override {
        for (std::size_t n = 0; n < count; ++n)
            handle_peer(batch.data(n), batch.from(n));
    }

private:
    void handle_peer(std::span<std::byte const> data, endpoint from);
    void handle_forward(forward& message, endpoint from);
};

void agent_driver::handle_peer(std::span<std::byte const> data, endpoint from) {
    wire::peer_message message;
    if (auto const ec = wire::decode(process_.settings().key, data, message))
        return report_malformed(ec, from);
    auto const now = process_.now();
    if (auto* it = std::get_if<forward>(&message))
        handle_forward(*it, from);
    else if (auto const* digest = std::get_if<peer_digest>(&message))
        core_.handle(now, *digest, actions_);
    else if (auto const* request = std::get_if<handover>(&message))
        core_.handle(now, *request, actions_);
    else if (auto const* result = std::get_if<handover_reply>(&message))
        core_.handle(now, *result, actions_);
    else
        report_unexpected(from);
}

void agent_driver::handle_forward(forward& message, endpoint from) {
    auto& packet = message.packet;
    process_.counters().count(packet.kind);
    trace_span const span{.name = "agent.receive",
        .peer = from,
        .service = packet.service,
        .request = packet.request};
    run_traced(packet.trace, span,
        [&] { core_.handle(process_.now(), message, actions_); });
}

agent_options make_options(process const& owner) {
    auto const& settings = owner.settings();
    auto options = settings.agent;
    options.key = settings.key;
    options.key_id = settings.key_id;
    options.backend = settings.backend;
    options.document.self = owner.self();
    options.document.incarnation = random_number();
    options.document.is_balancer = false;
    options.document.service = settings.service;
    options.document.failure_domain = settings.failure_domain;
    options.document.peers = settings.peers;
    options.document.seed = random_number();
    return options;
}

} // namespace

int run_agent(config::settings settings, std::string const& file) {
    start_glog("radishspread-agent", settings.log_directory);
    process shared(std::move(settings), file);
    agent_driver core(shared, make_options(shared));
    return shared.run(core);
}

} // namespace radishspread::runtime
