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

/// Receives finished log lines.
using log_output = std::function<void(severity, std::string_view)>;

/// Settings of the event log.
struct event_log_options {
    std::uint32_t lines_per_window = 10; ///< For each event number.
    duration window = std::chrono::seconds(1);
};

/// Writes numbered events, at a bounded rate for each number. What was
/// suppressed is counted and reported when the window of the number ends.
class event_log {
public:
    explicit event_log(log_output output, event_log_options options = {});

    /// Adds a catalogue; the array must outlive the log.
    void add(std::span<event_description const> catalogue);

    void write(instant now, log_event const& event);

    /// Reports suppressed events whose window has ended.
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

/// "RS1042 text (step=..., peer=..., ...)"; unset fields are left out.
void format_event(
    std::string& out, std::string_view text, log_event const& event);

/// Starts glog: to standard error, or to files in `directory` if it is set.
void start_glog(std::string const& program, std::string const& directory);

/// Changes the output directory of glog; empty means standard error.
void set_glog_directory(std::string const& directory);

/// Output that writes through glog.
[[nodiscard]] log_output glog_output();

} // namespace radishspread::runtime

#endif
