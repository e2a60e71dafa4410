#ifndef RADISHSPREAD_TESTS_FAKES_RS_BALANCER_PROCESS_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_BALANCER_PROCESS_HPP

#include <fakes/rs_process.hpp>
#include <radishspread/core/rs_balancer.hpp>

namespace radishspread::fakes {

/// Simulated balancer: runs a balancer core.
class balancer_process final : public process {
public:
    balancer_process(
        simulation& owner, process_info info, balancer_options options);

    void start() override;
    void tick() override;
    void receive(std::span<std::byte const> datagram) override;
    void receive_from_caller(service_id port, endpoint caller,
        std::span<std::byte const> datagram) override;
    void stop(duration deadline) override;
    [[nodiscard]] bool is_finished() const override;
    [[nodiscard]] document const& view() const override;
    [[nodiscard]] bool is_balancer() const override { return true; }

    // Actions of `balancer_sink`, called by the core.
    void send_forward(endpoint to, forward const& packet);
    void send_reply(
        service_id service, endpoint caller, caller_reply const& reply);

protected:
    void on(section_event const& event) override;
    void on(read_failed_event const& event) override;
    void on(watch_event const& event) override;
    void on(watch_failed_event const& event) override;

private:
    balancer core_;
};

} // namespace radishspread::fakes

#endif
