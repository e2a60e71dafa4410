#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_PROCESS_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_PROCESS_HPP

#include <radishspread/runtime/rs_packet_platform.hpp>
#include <radishspread/runtime/rs_packet_shell.hpp>
#include <radishspread/runtime/rs_view_sources.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>

namespace radishspread::runtime {

/// Base of the processes of both roles: runs the actions of the core, which
/// uses it as its `packet_sink`, and passes received datagrams on to the role.
template <packet_platform Platform, class Core> class packet_process {
public:
    // Actions of the core, see `packet_sink`.
    void send(endpoint to, agent_packet const& message) {
        shell_.send(to, message);
    }
    void send_caller(packet_flow const& flow, std::span<std::byte const> data) {
        endpoint const to{.address = flow.caller.address,
            .port = shell_.settings().packet_address.port};
        shell_.sockets().send(caller_socket_, to, data);
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
    void catch_up(endpoint newer_peer) {
        sources_.catch_up(shell_.now(), newer_peer);
    }
    void log(packet_log const& event) { shell_.log(event); }

protected:
    /// Packets to callers are sent from `caller_socket`.
    template <class Options>
    packet_process(packet_shell& shell, Options const& options,
        item_follower_options follower_options,
        duration member_collect_interval, page_callback const& on_page,
        socket_key caller_socket)
        : shell_(shell), core_(options),
          sources_(shell, core_.view(), Platform::prefixes(),
              std::move(follower_options), member_collect_interval, on_page),
          caller_socket_(caller_socket) {
        sources_.serve();
    }

    /// Calls `handle` for each datagram; it returns false if the datagram is
    /// malformed. If the process was paused, discards all received datagrams
    /// and returns false.
    template <class Handle>
    bool receive_each(
        receive_batch const& batch, std::size_t count, Handle&& handle) {
        if (core_.check_pause(shell_.now(), *this)) {
            shell_.sockets().drain();
            return false;
        }
        for (std::size_t n = 0; n < count; ++n)
            if (!handle(batch.from(n), batch.data(n)))
                shell_.report_malformed(batch.from(n));
        return true;
    }

    /// Logs the changes, except for unreadable items, which `item_source` logs.
    void log_changes(item_page const& page) {
        for (auto const& it : page.changes)
            if (!it.is_unreadable)
                shell_.log(describe(it));
    }

    /// Schedules a tick at `due`; `instant::max()` cancels a scheduled one.
    void wake_at(instant due) {
        shell_.wake_at(
            due == instant::max() ? std::nullopt : std::optional(due));
    }

    packet_shell& shell_;
    Core core_;
    view_sources<Platform> sources_;

private:
    socket_key caller_socket_;
};

} // namespace radishspread::runtime

#endif
