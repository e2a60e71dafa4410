#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_BALANCER_PROCESS_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_BALANCER_PROCESS_HPP

#include <radishspread/core/rs_packet_balancer.hpp>
#include <radishspread/runtime/rs_packet_platform.hpp>
#include <radishspread/runtime/rs_packet_shell.hpp>
#include <radishspread/runtime/rs_process.hpp>
#include <radishspread/runtime/rs_view_sources.hpp>
#include <radishspread/wire/rs_agent_packet_codec.hpp>

#include <optional>

namespace radishspread::runtime {

/// A balancer of packet flows on a platform: drives the core.
template <packet_platform Platform> class packet_balancer_process {
public:
    explicit packet_balancer_process(packet_shell& shell)
        : shell_(shell), core_(make_options(shell.settings())),
          sources_(shell, core_.view(), Platform::prefixes(),
              {.seed = random_number()}, collect_members,
              [this](item_page const& page, bool is_read) {
                  view_changed(page, is_read);
              }) {
        sources_.serve();
    }

    [[nodiscard]] int run() {
        core_.start(shell_.enter(), *this);
        return shell_.run({.receive = [this](auto key, auto const& batch,
                                          auto n) { receive(key, batch, n); },
                              .tick = [this] { tick(); },
                              .stop = [] {},
                              .is_ready = [this] { return core_.is_ready(); },
                              .linger = linger},
            Platform::readiness_path());
    }

    // Actions of the core.
    void send(endpoint to, agent_packet const& message) {
        shell_.send(to, message);
    }
    void send_caller(packet_flow const& flow, std::span<std::byte const> data) {
        shell_.sockets().send(caller_side_socket, caller_of(flow), data);
    }
    void send_backend(std::span<std::byte const>) {}
    void reset_caller(packet_flow const& flow, std::uint32_t sequence) {
        send_caller(flow, Platform::encode_reset(flow, sequence));
    }
    void refresh_view() { sources_.restart(shell_.now()); }
    void refresh_members() { sources_.reread_members(shell_.now()); }
    void catch_up(endpoint ahead) { sources_.catch_up(shell_.now(), ahead); }
    void log(packet_log const& event) { shell_.log(event); }

private:
    /// The fabric takes two missed polls to notice that this process leaves.
    static constexpr duration linger = std::chrono::milliseconds(1800);

    /// An opening for a backend server that is leaving is declined by its agent
    /// at the cost of a hop.
    static constexpr duration collect_members = std::chrono::milliseconds(500);

    static packet_balancer_options make_options(
        config::packet_settings const& settings) {
        return {.domain = name_tag(settings.failure_domain),
            .agent_port = settings.packet_address.port,
            .seed = random_number()};
    }

    [[nodiscard]] endpoint caller_of(packet_flow const& flow) const {
        return {.address = flow.caller.address,
            .port = shell_.settings().packet_address.port};
    }

    void receive(
        socket_key key, receive_batch const& batch, std::size_t count) {
        auto const now = shell_.now();
        if (core_.check_pause(now, *this)) {
            shell_.sockets().drain();
            return;
        }
        for (std::size_t n = 0; n < count; ++n) {
            bool const is_good =
                key == caller_side_socket
                    ? receive_caller(now, batch.data(n))
                    : receive_agent(now, batch.from(n), batch.data(n));
            if (!is_good)
                shell_.report_malformed(batch.from(n));
        }
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
        shell_.wake_at(
            due == instant::max() ? std::nullopt : std::optional(due));
    }

    void view_changed(item_page const& page, bool is_read) {
        for (auto const& it : page.changes)
            shell_.log(describe(it));
        if (is_read && sources_.is_complete())
            core_.view_confirmed(
                shell_.now(), sources_.members_read_at(), *this);
        schedule();
    }

    packet_shell& shell_;
    packet_balancer core_;
    view_sources<Platform> sources_;
};

} // namespace radishspread::runtime

#endif
