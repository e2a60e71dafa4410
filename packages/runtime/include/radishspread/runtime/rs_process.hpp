#ifndef RADISHSPREAD_RUNTIME_RS_PROCESS_HPP
#define RADISHSPREAD_RUNTIME_RS_PROCESS_HPP

#include <radishspread/config/rs_settings.hpp>
#include <radishspread/core/rs_log_event.hpp>
#include <radishspread/runtime/rs_driver.hpp>
#include <radishspread/runtime/rs_event_log.hpp>
#include <radishspread/runtime/rs_loop.hpp>
#include <radishspread/runtime/rs_make_event.hpp>
#include <radishspread/runtime/rs_metrics_server.hpp>
#include <radishspread/runtime/rs_peer_server.hpp>
#include <radishspread/runtime/rs_process_metrics.hpp>
#include <radishspread/runtime/rs_section_reader.hpp>
#include <radishspread/runtime/rs_settings_change.hpp>
#include <radishspread/runtime/rs_step_error.hpp>
#include <radishspread/runtime/rs_tracer.hpp>
#include <radishspread/wire/rs_codec.hpp>

#include <optional>
#include <span>
#include <string>

namespace radishspread::runtime {

/// The parts that the balancer and agent processes share: event loop, sockets,
/// clients and servers for sections, log, metrics and traces.
class process {
public:
    /// `file` is the settings file, reloaded on SIGHUP.
    process(config::settings settings, std::string file);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    /// Opens the ports, starts the core and runs until it has stopped. Returns
    /// the exit status: 0 after a graceful shutdown, 1 if a port could not be
    /// opened or requests were aborted.
    [[nodiscard]] int run(driver& core);

    /// Must be called first by every callback of the event loop. Reads the
    /// clock and, if a tick is due, lets the core detect a pause. Returns false
    /// if a pause was detected: what the callback received is from before the
    /// pause and must not be used.
    [[nodiscard]] bool begin_wakeup();

    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] config::settings const& settings() const { return settings_; }
    [[nodiscard]] datagram_sockets& sockets() { return sockets_; }
    [[nodiscard]] wire::encoder& encoder() { return encoder_; }
    [[nodiscard]] section_reader& sections() { return *sections_; }
    [[nodiscard]] process_metrics& counters() { return metrics_; }
    [[nodiscard]] tracer& traces() { return tracer_; }
    [[nodiscard]] endpoint self() const;

    void log(log_event const& event) { log_.write(now_, event); }
    void add_events(std::span<event_description const> catalogue) {
        log_.add(catalogue);
    }

    /// Discards the datagrams that were received but not processed, and cancels
    /// the outstanding reads and watches of sections.
    void discard_queued();

private:
    [[nodiscard]] bool open_ports();
    [[nodiscard]] bool open_metrics();
    void make_clients();
    void add_gauges();
    void add_timers();
    void flush();
    void tick();
    void begin_shutdown();
    void finish(bool is_forced);
    void reload_settings();
    void apply_settings(config::settings const& next);
    void open_trace_file();
    void report(std::uint16_t number, step_error const& error);

    config::settings settings_;
    std::string settings_file_;
    instant now_;
    instant last_tick_at_;
    instant last_drop_report_at_;
    std::uint64_t reported_drops_ = 0;
    std::optional<instant> forced_stop_at_; ///< Set once shutdown has begun.
    std::uint64_t discard_count_ = 0;       ///< Calls of `discard_queued`.
    int status_ = 0;
    driver* core_ = nullptr;
    loop loop_;
    event_log log_;
    process_metrics metrics_;
    tracer tracer_;
    datagram_sockets sockets_;
    wire::encoder encoder_;
    std::optional<section_reader> sections_;
    std::optional<peer_server> peer_server_;
    std::optional<metrics_server> metrics_server_;
};

} // namespace radishspread::runtime

#endif
