#ifndef RADISHSPREAD_RUNTIME_RS_CONNECTION_WATCHDOG_HPP
#define RADISHSPREAD_RUNTIME_RS_CONNECTION_WATCHDOG_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::runtime {

/// Times of a connection between peers.
struct watchdog_options {
    duration progress_timeout =
        std::chrono::milliseconds(500);             ///< Before each step.
    duration busy_limit = std::chrono::seconds(5);  ///< For one request.
    duration idle_limit = std::chrono::seconds(10); ///< With no request.
};

/// What to do with a connection.
enum class watchdog_action : std::uint8_t { none, ping, drop };

/// Detects connections that went silent, are slow, or are idle. With a request
/// outstanding and no bytes for `silence` it asks for a PING, after the same
/// time again for a drop; it also asks for a drop if requests have been
/// outstanding for `busy_limit`, or none for `idle_limit`.
class connection_watchdog {
public:
    connection_watchdog(watchdog_options options, instant now)
        : options_(options), last_bytes_at_(now), busy_changed_at_(now) {}

    void bytes_received(instant now) {
        last_bytes_at_ = now;
        is_ping_requested_ = false;
    }

    /// Call after the first request began or the last one ended.
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
