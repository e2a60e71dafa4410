#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_AGENT_PROCESS_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_AGENT_PROCESS_HPP

#include <radishspread/core/rs_packet_agent.hpp>
#include <radishspread/runtime/rs_packet_process.hpp>
#include <radishspread/runtime/rs_random_number.hpp>
#include <radishspread/wire/rs_agent_packet_codec.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace radishspread::runtime {

/// Process of an agent of packet flows: passes datagrams, replies of the
/// configuration service and the time to the core.
template <packet_platform Platform>
class packet_agent_process : public packet_process<Platform, packet_agent> {
    using base = packet_process<Platform, packet_agent>;
    using base::core_;
    using base::shell_;
    using base::sources_;

public:
    explicit packet_agent_process(packet_shell& shell)
        : base(
              shell, make_options(shell.settings()),
              {.wait = watch_wait,
                  .collect_interval = collect_interval,
                  .seed = random_number()},
              initial_collect_interval,
              [this](item_page const& page, bool) { handle_page(page); },
              agent_side_socket) {
        shell.metrics().add_gauge("radishspread_queued_requests",
            "Openings and requests that wait for a slot.",
            [this] { return static_cast<double>(core_.queued()); });
        shell.metrics().add_gauge("radishspread_backend_failing",
            "1 if the backend server fails many requests.",
            [this] { return core_.is_failing(shell_.now()) ? 1.0 : 0.0; });
    }

    [[nodiscard]] int run() {
        core_.start(shell_.update_clock(), *this);
        return shell_.run(
            {.receive = [this](auto key, auto const& batch,
                            auto n) { receive(key, batch, n); },
                .tick = [this] { tick(); },
                .stop = [this] { core_.stop(shell_.now(), *this); },
                .is_ready =
                    [this] {
                        return sources_.is_complete();
                    }},
            Platform::readiness_path());
    }

private:
    // Balancers apply changes too, so an agent may receive them a little later,
    // which takes fewer calls to the configuration service.
    static constexpr duration watch_wait = std::chrono::seconds(10);
    static constexpr duration collect_interval =
        std::chrono::milliseconds(1500);
    /// While a service limits the openings at cold backend servers. Longer than
    /// `collect_interval`, because all but one of these changes are about
    /// backend servers of other agents.
    static constexpr duration member_collect_interval =
        std::chrono::milliseconds(2500);
    /// Share of the drain bound for which changes of backend servers are
    /// collected otherwise.
    static constexpr double drain_bound_share = 0.75;
    /// Until the announcement of the agent's backend server has been read.
    static constexpr duration initial_collect_interval =
        std::chrono::milliseconds(200);

    [[nodiscard]] duration collect_interval_of_members() const {
        if (core_.awaits_announcement(shell_.now()))
            return initial_collect_interval;
        if (core_.view().has_warmup_limit())
            return member_collect_interval;
        return std::chrono::duration_cast<duration>(
            shell_.settings().drain_bound * drain_bound_share);
    }

    static packet_agent_options make_options(
        config::packet_settings const& settings) {
        return {.service = name_tag(settings.service),
            .domain = name_tag(settings.failure_domain),
            .backend = settings.backend_address,
            .start_unix_ms = wall_nanoseconds() / 1'000'000};
    }

    void receive(
        socket_key key, receive_batch const& batch, std::size_t count) {
        auto const now = shell_.now();
        this->receive_each(batch, count, [&](endpoint from, auto data) {
            return key == backend_side_socket
                       ? receive_backend(now, data)
                       : receive_balancer(now, from, data);
        });
    }

    bool receive_backend(instant now, std::span<std::byte const> data) {
        auto packet = Platform::decode(data);
        if (!packet)
            return false;
        std::array<std::byte, wire::max_datagram> copy;
        // The core sends a returned opening back to the balancer, without the
        // flag.
        if (packet->is_returned) {
            std::copy(data.begin(), data.end(), copy.begin());
            Platform::clear_returned_flag(std::span(copy).first(data.size()));
            packet->bytes = std::span(copy).first(data.size());
        }
        core_.handle_backend(now, *packet, *this);
        return true;
    }

    bool receive_balancer(
        instant now, endpoint from, std::span<std::byte const> data) {
        auto const message = wire::decode_agent_packet(data);
        if (!message)
            return false;
        if (message->packet.empty()) {
            core_.handle(now, from, *message, nullptr, *this);
            return true;
        }
        auto const packet = Platform::decode(message->packet);
        if (packet)
            core_.handle(now, from, *message, &*packet, *this);
        return packet.has_value();
    }

    void tick() {
        core_.tick(shell_.now(), *this);
        sources_.tick(shell_.now());
        schedule();
    }

    void schedule() { this->wake_at(sources_.due()); }

    void handle_page(item_page const& page) {
        this->log_changes(page);
        if (sources_.is_complete())
            core_.view_changed(shell_.now(), *this);
        sources_.set_member_collect_interval(collect_interval_of_members());
        schedule();
    }
};

} // namespace radishspread::runtime

#endif
