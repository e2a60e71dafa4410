#ifndef RADISHSPREAD_RUNTIME_RS_EVENT_LOG_HPP
#define RADISHSPREAD_RUNTIME_RS_EVENT_LOG_HPP

#include <radishspread/core/rs_event_description.hpp>
#include <radishspread/core/rs_log_event.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace radishspread::runtime {

/// Receives formatted log lines.
using log_output = std::function<void(severity, std::string_view)>;

/// Rate limit of the event log.
struct event_log_options {
    std::uint32_t lines_per_window = 10; ///< For each event number.
    duration window = std::chrono::seconds(1);
};

/// Writes numbered events and limits the rate of each number. Suppressed events
/// are counted, and the count is logged once the number's window has ended.
class event_log {
public:
    explicit event_log(log_output output, event_log_options options = {});

    /// Adds a catalogue of events; the array must outlive the log.
    void add(std::span<event_description const> catalogue);

    void write(instant now, log_event const& event);

    /// Logs the counts of suppressed events of windows that have ended.
    void tick(instant now);

private:
    struct event_state {
        event_description const* description = nullptr;
        instant window_start{};
        std::uint32_t written = 0;
        std::uint32_t suppressed = 0;
        bool has_window = false;
    };

    void report_suppressed(std::uint16_t number, event_state& state);

    log_output output_;
    event_log_options options_;
    std::unordered_map<std::uint16_t, event_state> states_;
    std::string line_;
};

/// Formats an event as "RS1042 text (step=..., peer=..., ...)". Unset fields
/// are omitted.
void format_event(
    std::string& out, std::string_view text, log_event const& event);

/// Starts glog: to standard error, or to files in `directory` if it is set.
void start_glog(std::string const& program, std::string const& directory);

/// Changes the output directory of glog; empty means standard error.
void set_glog_directory(std::string const& directory);

/// Log output that writes through glog.
[[nodiscard]] log_output glog_output();

} // namespace radishspread::runtime

#endif
