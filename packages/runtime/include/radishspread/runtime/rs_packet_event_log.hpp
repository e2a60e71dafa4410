#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_EVENT_LOG_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_EVENT_LOG_HPP

#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/core/rs_packet_log.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_line_writer.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace radishspread::runtime {

/// Structured log of a packet-flow process: one JSON object per line on
/// standard output. The rate is limited for each event; the number of dropped
/// lines is logged.
class packet_event_log {
public:
    explicit packet_event_log(std::string process, int fd = 1);

    void write(instant now, packet_log const& event);
    /// The same for the event at `index` of `packet_events`.
    void write(instant now, std::size_t index, packet_log const& event);
    /// Logs the number of dropped lines and writes queued lines.
    void tick(instant now);
    void flush() { lines_.flush(); }

    /// Maximum number of lines of one event in each window.
    static constexpr std::uint32_t lines_per_window = 100;
    static constexpr duration window = std::chrono::seconds(1);

private:
    struct event_state {
        instant window_start;
        std::uint32_t written = 0;
    };

    void write_line(instant now, event_description const& description,
        packet_log const& event);

    std::string process_;
    line_writer lines_;
    std::array<event_state, packet_events.size()> states_;
    std::uint64_t dropped_lines_ = 0;
    instant next_report_at_;
};

/// Id of a flow in the log: 16 hex digits, the same in every process.
[[nodiscard]] std::string flow_text(packet_flow const& flow);

} // namespace radishspread::runtime

#endif
