#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_BALANCER_PROCESS_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_BALANCER_PROCESS_HPP

#include <radishspread/core/rs_packet_balancer.hpp>
#include <radishspread/runtime/rs_packet_process.hpp>
#include <radishspread/runtime/rs_random_number.hpp>
#include <radishspread/wire/rs_agent_packet_codec.hpp>

#include <optional>

namespace radishspread::runtime {

/// Process of a balancer of packet flows: passes datagrams, replies of the
/// configuration service and the time to the core.
template <packet_platform Platform>
class packet_balancer_process
    : public packet_process<Platform, packet_balancer> {
    using base = packet_process<Platform, packet_balancer>;
    using base::core_;
    using base::shell_;
    using base::sources_;

public:
    explicit packet_balancer_process(packet_shell& shell)
        : base(
              shell, make_options(shell.settings()),
              {.first_read_backoff_divisor = first_read_backoff_divisor,
                  .seed = random_number()},
              member_collect_interval,
              [this](item_page const& page, bool is_complete_read) {
                  handle_page(page, is_complete_read);
              },
              caller_side_socket) {
        shell.metrics().add_gauge("radishspread_agents_failing",
            "Agents whose backend servers are reported as failing.", [this] {
                return static_cast<double>(core_.failing_agents(shell_.now()));
            });
    }

    [[nodiscard]] int run() {
        core_.start(shell_.update_clock(), *this);
        return shell_.run(
            {.receive = [this](auto key, auto const& batch,
                            auto n) { receive(key, batch, n); },
                .tick = [this] { tick(); },
                .stop = [] {},
                .is_ready = [this] { return core_.is_serving(shell_.now()); },
                .shutdown_delay = shutdown_delay},
            Platform::readiness_path());
    }

private:
    /// The fabric stops forwarding packets to this process only after two
    /// failed readiness polls.
    static constexpr duration shutdown_delay = std::chrono::milliseconds(1800);

    /// A backend server that has restarted is announced as cold. While a
    /// service limits the openings at cold ones, balancers must learn of it
    /// before they send more.
    static constexpr duration member_collect_interval =
        std::chrono::milliseconds(500);

    /// Share of the drain bound for which changes of backend servers are
    /// collected otherwise. Learning of a new one later costs little, and the
    /// agent of one that leaves declines openings too.
    static constexpr int drain_bound_divisor = 4;

    /// A balancer without a view serves nobody. An agent without one still
    /// takes what balancers send, so it needs no such calls.
    static constexpr int first_read_backoff_divisor = 8;

    /// While announcements come back after an outage, openings have to share
    /// the few backend servers that are known.
    static constexpr duration recovery_collect_interval =
        std::chrono::milliseconds(200);

    [[nodiscard]] duration collect_interval() const {
        if (core_.view().is_recovering(shell_.now()))
            return recovery_collect_interval;
        return core_.view().has_warmup_limit()
                   ? member_collect_interval
                   : shell_.settings().drain_bound / drain_bound_divisor;
    }

    static constexpr double bytes_per_mbit = 125'000;

    /// The other half of the link is left to the callers' packets.
    static constexpr double search_link_share = 0.5;

    static packet_balancer_options make_options(
        config::packet_settings const& settings) {
        return {.domain = name_tag(settings.failure_domain),
            .agent_port = settings.packet_address.port,
            .search_bytes_per_second = static_cast<std::size_t>(
                settings.link_mbit_per_s * bytes_per_mbit * search_link_share),
            .seed = random_number()};
    }

    void receive(
        socket_key key, receive_batch const& batch, std::size_t count) {
        auto const now = shell_.now();
        bool const is_handled =
            this->receive_each(batch, count, [&](endpoint from, auto data) {
                return key == caller_side_socket
                           ? receive_caller(now, data)
                           : receive_agent(now, from, data);
            });
        if (is_handled)
            schedule();
    }

    bool receive_caller(instant now, std::span<std::byte const> data) {
        auto const packet = Platform::decode(data);
        if (packet)
            core_.handle_caller(now, *packet, *this);
        return packet.has_value();
    }

    bool receive_agent(
        instant now, endpoint from, std::span<std::byte const> data) {
        auto const message = wire::decode_agent_packet(data);
        if (!message)
            return false;
        // The payload of a `listed` message is a list of flows, not a packet.
        std::optional<flow_packet> packet;
        bool const is_list = message->kind == agent_packet_kind::listed;
        if (!message->packet.empty() && !is_list) {
            packet = Platform::decode(message->packet);
            if (!packet)
                return false;
        }
        core_.handle(now, from, *message, packet ? &*packet : nullptr, *this);
        return true;
    }

    void tick() {
        auto const now = shell_.now();
        core_.tick(now, *this);
        sources_.tick(now);
        schedule();
    }

    void schedule() {
        auto due = sources_.due();
        if (auto const next = core_.next_due(); next)
            due = std::min(due, *next);
        this->wake_at(due);
    }

    void handle_page(item_page const& page, bool is_complete_read) {
        this->log_changes(page);
        sources_.set_member_collect_interval(collect_interval());
        if (is_complete_read && sources_.is_complete())
            core_.view_confirmed(
                shell_.now(), sources_.members_read_at(), *this);
        schedule();
    }
};

} // namespace radishspread::runtime

#endif
