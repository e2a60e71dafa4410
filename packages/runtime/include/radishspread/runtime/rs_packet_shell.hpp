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
#include <radishspread/runtime/rs_opening_metrics.hpp>
#include <radishspread/runtime/rs_packet_event_log.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Keys of the sockets of a packet-flow process.
inline constexpr socket_key caller_side_socket = 1;  ///< Balancer only.
inline constexpr socket_key agent_side_socket = 2;   ///< Between processes.
inline constexpr socket_key backend_side_socket = 3; ///< Agent only.

/// Shell around the core of a packet-flow process: event loop, sockets, HTTP
/// server, log and metrics. The same for both roles and every platform.
class packet_shell {
public:
    /// Functions of the role that the event loop calls.
    struct hooks {
        std::function<void(socket_key, receive_batch const&, std::size_t)>
            receive;
        std::function<void()> tick;
        std::function<void()> stop;
        std::function<bool()> is_ready;
        /// Time from the stop signal to the end of the process, limited by the
        /// stop deadline; 0: ends at once.
        duration shutdown_delay{0};
    };

    /// `clamped`: settings out of range, for the log.
    packet_shell(config::packet_settings settings, std::string settings_file,
        std::vector<config::fault> clamped = {});

    /// Opens the sockets and the HTTP server and runs until stopped; returns
    /// the exit status.
    [[nodiscard]] int run(hooks role_hooks, char const* readiness_path);

    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] config::packet_settings const& settings() const {
        return settings_;
    }
    [[nodiscard]] datagram_sockets& sockets() { return sockets_; }
    [[nodiscard]] http_server& server() { return server_; }
    [[nodiscard]] runtime::metrics& metrics() { return metrics_; }
    [[nodiscard]] bool is_stopping() const { return stop_at_.has_value(); }

    /// Reads the clock for `now`; every callback of the event loop must call it
    /// first.
    instant update_clock() { return now_ = monotonic_now(); }

    void log(packet_log const& event);
    /// Counts a datagram that could not be decoded, or a message too long to be
    /// sent; logs the count at a limited rate.
    void report_malformed(endpoint from);
    /// Sends a message to a balancer or an agent.
    void send(endpoint to, agent_packet const& message);
    /// Schedules a tick no later than `due`; without a time, only the periodic
    /// ticks remain.
    void wake_at(std::optional<instant> due);

private:
    /// Address that has not been opened yet.
    struct closed_address {
        endpoint at;
        std::function<std::string()> open; ///< Returns the error message.
        std::string fault;                 ///< Of the last try.
    };

    void list_addresses(char const* readiness_path);
    void list_socket(socket_key key, endpoint at);
    /// Tries to open the addresses that are not open yet.
    void open_addresses();
    /// Tries again, and ends the process if an address stays taken.
    void retry_addresses();
    [[nodiscard]] bool is_open() const { return closed_addresses_.empty(); }
    void add_server_gauges();
    void add_timers();
    void tick();
    void log_limits();
    void log_clamped(std::vector<config::fault> const& clamped);
    void log_library_messages();
    /// Starts the stop that the signal asks for; the second one ends at once.
    void begin_stop(int number);
    void reload_settings();

    config::packet_settings settings_;
    std::string settings_file_;
    std::vector<config::fault> clamped_;
    hooks hooks_;
    instant now_;
    instant started_at_;
    std::optional<instant> stop_at_;
    std::string stop_cause_;
    int exit_status_ = 0;
    std::vector<closed_address> closed_addresses_;
    bool was_ready_ = false;
    std::uint64_t malformed_count_ = 0;
    instant next_malformed_report_at_;
    loop loop_;
    packet_event_log log_;
    runtime::metrics metrics_;
    std::vector<counter*> event_counters_;
    opening_metrics opening_metrics_;
    datagram_sockets sockets_;
    http_server server_;
    one_shot_timer timer_;
};

} // namespace radishspread::runtime

#endif
