#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_AGENT_PROCESS_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_AGENT_PROCESS_HPP

#include <radishspread/core/rs_packet_agent.hpp>
#include <radishspread/runtime/rs_packet_platform.hpp>
#include <radishspread/runtime/rs_packet_shell.hpp>
#include <radishspread/runtime/rs_process.hpp>
#include <radishspread/runtime/rs_view_sources.hpp>
#include <radishspread/wire/rs_agent_packet_codec.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace radishspread::runtime {

/// An agent of packet flows on a platform: drives the core.
template <packet_platform Platform> class packet_agent_process {
public:
    explicit packet_agent_process(packet_shell& shell)
        : shell_(shell), core_(make_options(shell.settings())),
          sources_(shell, core_.view(), Platform::prefixes(),
              {.wait = watch_wait, .collect = collect, .seed = random_number()},
              collect_at_start,
              [this](item_page const& page, bool) { view_changed(page); }) {
        sources_.serve();
    }

    [[nodiscard]] int run() {
        core_.start(shell_.enter(), *this);
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

    // Actions of the core.
    void send(endpoint to, agent_packet const& message) {
        shell_.send(to, message);
    }
    void send_caller(packet_flow const& flow, std::span<std::byte const> data) {
        endpoint const to{.address = flow.caller.address,
            .port = shell_.settings().packet_address.port};
        shell_.sockets().send(agent_side_socket, to, data);
    }
    void send_backend(std::span<std::byte const> data) {
        shell_.sockets().send(
            backend_side_socket, shell_.settings().backend_address, data);
    }
    void reset_caller(packet_flow const& flow, std::uint32_t sequence) {
        send_caller(flow, Platform::encode_reset(flow, sequence));
    }
    void refresh_view() { sources_.restart(shell_.now()); }
    void refresh_members() { sources_.reread_members(shell_.now()); }
    void catch_up(endpoint ahead) { sources_.catch_up(shell_.now(), ahead); }
    void log(packet_log const& event) { shell_.log(event); }

private:
    // Balancers act on changes too, so an agent may hear of them a little
    // later and make fewer calls.
    static constexpr duration watch_wait = std::chrono::seconds(10);
    static constexpr duration collect = std::chrono::milliseconds(1500);
    /// All but one of these changes are about other backend servers.
    static constexpr duration collect_members = std::chrono::milliseconds(2500);
    /// The same until the announcement of the own backend server is known.
    static constexpr duration collect_at_start = std::chrono::milliseconds(200);

    static packet_agent_options make_options(
        config::packet_settings const& settings) {
        return {.service = name_tag(settings.service),
            .domain = name_tag(settings.failure_domain),
            .backend = settings.backend_address,
            .started_unix_ms = wall_nanoseconds() / 1'000'000};
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
                key == backend_side_socket
                    ? receive_backend(now, batch.data(n))
                    : receive_balancer(now, batch.from(n), batch.data(n));
            if (!is_good)
                shell_.report_malformed(batch.from(n));
        }
    }

    bool receive_backend(instant now, std::span<std::byte const> data) {
        auto packet = Platform::decode(data);
        if (!packet)
            return false;
        std::array<std::byte, wire::max_datagram> copy;
        if (packet->is_returned) {
            std::copy(data.begin(), data.end(), copy.begin());
            Platform::clear_returned(std::span(copy).first(data.size()));
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

    void schedule() {
        auto const due = sources_.due();
        shell_.wake_at(
            due == instant::max() ? std::nullopt : std::optional(due));
    }

    void view_changed(item_page const& page) {
        for (auto const& it : page.changes)
            shell_.log(describe(it));
        if (sources_.is_complete())
            core_.view_changed(shell_.now(), *this);
        sources_.set_collect_members(core_.awaits_announcement(shell_.now())
                                         ? collect_at_start
                                         : collect_members);
        schedule();
    }

    packet_shell& shell_;
    packet_agent core_;
    view_sources<Platform> sources_;
};

} // namespace radishspread::runtime

#endif
