#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_SHELL_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_SHELL_HPP

#include <radishspread/config/rs_packet_settings.hpp>
#include <radishspread/core/rs_agent_packet.hpp>
#include <radishspread/core/rs_packet_log.hpp>
#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_configuration_client.hpp>
#include <radishspread/runtime/rs_datagram_sockets.hpp>
#include <radishspread/runtime/rs_http_server.hpp>
#include <radishspread/runtime/rs_loop.hpp>
#include <radishspread/runtime/rs_metrics.hpp>
#include <radishspread/runtime/rs_one_shot_timer.hpp>
#include <radishspread/runtime/rs_packet_event_log.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Sockets of a process that carries packet flows.
inline constexpr socket_key caller_side_socket = 1;  ///< Balancer.
inline constexpr socket_key agent_side_socket = 2;   ///< Between our processes.
inline constexpr socket_key backend_side_socket = 3; ///< Agent.

/// What both roles that carry packet flows share, apart from the platform: the
/// loop, sockets, servers, log and metrics.
class packet_shell {
public:
    /// What the role does at each occasion.
    struct hooks {
        std::function<void(socket_key, receive_batch const&, std::size_t)>
            receive;
        std::function<void()> tick;
        std::function<void()> stop;
        std::function<bool()> is_ready;
        /// Time until which a stopping process goes on; 0: ends at once.
        duration linger{0};
    };

    packet_shell(config::packet_settings settings, std::string file);

    /// Opens the addresses and runs until stopped; returns the exit status.
    [[nodiscard]] int run(hooks calls, char const* readiness_path);

    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] config::packet_settings const& settings() const {
        return settings_;
    }
    [[nodiscard]] datagram_sockets& sockets() { return sockets_; }
    [[nodiscard]] http_server& server() { return server_; }
    [[nodiscard]] runtime::metrics& metrics() { return metrics_; }
    [[nodiscard]] bool is_stopping() const { return stop_at_.has_value(); }

    /// Reads the clock; to be called first by whatever the loop wakes up.
    instant enter() { return now_ = monotonic_now(); }

    void log(packet_log const& event);
    /// A datagram could not be decoded.
    void report_malformed(endpoint from);
    /// Sends a message to a balancer or an agent.
    void send(endpoint to, agent_packet const& message);
    /// Calls the tick no later than `due`.
    void wake_at(std::optional<instant> due);

private:
    [[nodiscard]] bool open_addresses(char const* readiness_path);
    [[nodiscard]] bool open_socket(socket_key key, endpoint at);
    void add_timers();
    void tick();
    void begin_stop();
    void reread();

    config::packet_settings settings_;
    std::string file_;
    hooks calls_;
    instant now_;
    instant started_;
    std::optional<instant> stop_at_;
    bool was_ready_ = false;
    std::uint64_t malformed_ = 0;
    instant next_malformed_report_;
    loop loop_;
    packet_event_log log_;
    runtime::metrics metrics_;
    std::vector<counter*> event_counters_;
    datagram_sockets sockets_;
    http_server server_;
    one_shot_timer timer_;
};

} // namespace radishspread::runtime

#endif
