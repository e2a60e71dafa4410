#ifndef RADISHSPREAD_RUNTIME_RS_CONNECTION_WATCHDOG_HPP
#define RADISHSPREAD_RUNTIME_RS_CONNECTION_WATCHDOG_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::runtime {

/// Time limits of a connection between peers.
struct watchdog_options {
    /// Time without received bytes before a PING, and again before the drop.
    duration progress_timeout = std::chrono::milliseconds(500);
    /// Maximum time for which requests are outstanding without a pause.
    duration busy_limit = std::chrono::seconds(5);
    /// Maximum time without an outstanding request.
    duration idle_limit = std::chrono::seconds(10);
};

/// Action that the owner of a connection has to take.
enum class watchdog_action : std::uint8_t { none, ping, drop };

/// Detects connections that are unresponsive, slow or idle. If a request is
/// outstanding and no bytes arrive for `progress_timeout`, it requests a PING,
/// and after the same time again that the connection is dropped. It also
/// requests the drop if there have been outstanding requests for `busy_limit`,
/// or none for `idle_limit`.
class connection_watchdog {
public:
    connection_watchdog(watchdog_options options, instant now)
        : options_(options), last_bytes_at_(now), busy_changed_at_(now) {}

    void bytes_received(instant now) {
        last_bytes_at_ = now;
        is_ping_requested_ = false;
    }

    /// To be called after the first request has started or the last one has
    /// ended.
    void set_busy(instant now, bool is_busy) {
        if (is_busy == is_busy_)
            return;
        is_busy_ = is_busy;
        is_ping_requested_ = false;
        busy_changed_at_ = now;
        last_bytes_at_ = now;
    }

    [[nodiscard]] watchdog_action check(instant now) {
        if (!is_busy_)
            return now - busy_changed_at_ >= options_.idle_limit
                       ? watchdog_action::drop
                       : watchdog_action::none;
        auto const stalled_for = now - last_bytes_at_;
        if (now - busy_changed_at_ >= options_.busy_limit ||
            stalled_for >= 2 * options_.progress_timeout)
            return watchdog_action::drop;
        if (is_ping_requested_ || stalled_for < options_.progress_timeout)
            return watchdog_action::none;
        is_ping_requested_ = true;
        return watchdog_action::ping;
    }

private:
    watchdog_options options_;
    instant last_bytes_at_;
    instant busy_changed_at_;
    bool is_busy_ = false;
    bool is_ping_requested_ = false;
};

} // namespace radishspread::runtime

#endif
