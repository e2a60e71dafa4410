#ifndef RADISHSPREAD_TESTS_FAKES_RS_AGENT_PROCESS_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_AGENT_PROCESS_HPP

#include <fakes/rs_fake_backend.hpp>
#include <fakes/rs_process.hpp>
#include <radishspread/core/rs_agent.hpp>

namespace radishspread::fakes {

/// Simulated agent: runs an agent core and connects it to its fake backend
/// server.
class agent_process final : public process {
public:
    agent_process(simulation& owner, process_info info, agent_options options,
        fake_backend& backend);
    ~agent_process() override;

    void start() override;
    void tick() override;
    void receive(std::span<std::byte const> datagram) override;
    void stop(duration deadline) override;
    [[nodiscard]] bool is_finished() const override;
    [[nodiscard]] document const& view() const override;
    [[nodiscard]] bool is_balancer() const override { return false; }
    [[nodiscard]] fake_backend& backend() { return backend_; }

    // Actions of `agent_sink`, called by the core.
    void send_forward(endpoint to, forward const& packet);
    void send_deliver(endpoint to, deliver const& reply);
    void send_handover(endpoint to, handover const& request);
    void send_handover_reply(endpoint to, handover_reply const& result);
    void connect(std::uint64_t connection);
    void ping(std::uint64_t connection);
    void disconnect(std::uint64_t connection);
    void dispatch(std::uint64_t connection, backend_request const& request);
    void cancel(std::uint64_t connection, dispatch_id id);

protected:
    void on(section_event const& event) override;
    void on(read_failed_event const& event) override;
    void on(watch_event const& event) override;
    void on(watch_failed_event const& event) override;

private:
    void receive_forward(forward& it);
    void on_backend(backend_event event, std::vector<std::byte> const& body);

    fake_backend& backend_;
    agent core_;
    bool has_dispatched_ = false; ///< Since the last forwarded packet.
};

} // namespace radishspread::fakes

#endif
