#include <radishspread/config/rs_settings_events.hpp>
#include <radishspread/core/rs_document_events.hpp>
#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_datagram_events.hpp>
#include <radishspread/runtime/rs_process.hpp>
#include <radishspread/runtime/rs_random_number.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>

#include <csignal>

namespace radishspread::runtime {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(50);
constexpr duration drop_report_interval = std::chrono::seconds(1);

// Handling events on connections can queue more data to send; the second round
// sends it in the same iteration of the loop.
constexpr int flush_rounds = 2;

} // namespace

process::process(config::settings settings, std::string file)
    : settings_(std::move(settings)), settings_file_(std::move(file)),
      now_(monotonic_now()), last_tick_at_(now_), last_drop_report_at_(now_),
      log_(glog_output()), tracer_(settings_.name, random_number()),
      sockets_([this](socket_key key, receive_batch const& batch,
                   std::size_t count) {
          metrics_.datagrams_received.add(count);
          if (begin_wakeup())
              core_->handle_datagrams(key, batch, count);
          else
              metrics_.datagrams_discarded.add(count);
      }),
      encoder_(settings_.key) {
    log_.add(config::settings_events);
    log_.add(document_events);
    log_.add(datagram_events);
}

process::~process() = default;

endpoint process::self() const {
    return {.address = settings_.address, .port = settings_.peer_port};
}

bool process::begin_wakeup() {
    now_ = monotonic_now();
    if (now_ - last_tick_at_ < tick_interval)
        return true;
    // The core detects in its tick that the process was paused, before it
    // handles anything that was received before the pause.
    auto const before = discard_count_;
    last_tick_at_ = now_;
    core_->tick();
    return discard_count_ == before;
}

void process::discard_queued() {
    ++discard_count_;
    auto const n = sockets_.drain();
    metrics_.datagrams_discarded.add(n);
    sections_->reset();
    log(make_event(queued_datagrams_discarded, step::receive, {},
        static_cast<std::int64_t>(n)));
}

int process::run(driver& core) {
    core_ = &core;
    std::signal(SIGPIPE, SIG_IGN);
    make_clients();
    open_trace_file();
    if (!open_ports() || !open_metrics())
        return 1;
    now_ = monotonic_now();
    last_tick_at_ = now_;
    log(make_event(process_started, step::start, self(), 0, settings_.name));
    log(make_event(
        config::settings_event::read, step::start, {}, 0, settings_file_));
    core_->start();
    add_timers();
    loop_.run();
    return status_;
}

void process::make_clients() {
    section_reader_options options;
    options.key = settings_.key;
    options.configuration.service = settings_.configuration_service;
    sections_.emplace(
        options, *core_, [this](log_event const& it) { log(it); });
    peer_server_options limits;
    limits.key = settings_.key;
    peer_server_.emplace(limits,
        peer_server_source{
            .find = [this](std::string_view it) { return core_->find(it); },
            .index = [this] { return core_->index(); },
            .log =
                [this](log_event const& it) {
                    log(it);
                }});
}

bool process::open_ports() {
    auto ec = sockets_.open(peer_socket, self());
    if (!ec)
        ec = peer_server_->listen(self());
    if (ec)
        report(socket_not_opened,
            {.code = ec, .step = step::start, .peer = self()});
    return !ec;
}

bool process::open_metrics() {
    if (settings_.metrics_port == 0)
        return true;
    add_gauges();
    endpoint const at{
        .address = settings_.address, .port = settings_.metrics_port};
    metrics_server_.emplace(metrics_.registry());
    auto const error = metrics_server_->listen(at);
    if (!error.empty())
        log(make_event(metrics_endpoint_not_opened, step::start, at, 0, error));
    return error.empty();
}

void process::add_gauges() {
    auto& registry = metrics_.registry();
    registry.add_gauge("radishspread_datagrams_sent",
        "Datagrams sent since start.",
        [this] { return static_cast<double>(sockets_.sender().sent()); });
    registry.add_gauge("radishspread_datagrams_not_sent",
        "Datagrams that the kernel did not accept for sending since start.",
        [this] { return static_cast<double>(sockets_.sender().dropped()); });
    registry.add_gauge("radishspread_requests_outstanding",
        "Requests in progress at the backend server.",
        [this] { return static_cast<double>(core_->outstanding()); });
    registry.add_gauge("radishspread_peer_connections",
        "Open connections from peers.",
        [this] { return static_cast<double>(peer_server_->connections()); });
    registry.add_gauge("radishspread_spans_dropped",
        "Spans dropped since start by the rate limit or a write error.",
        [this] { return static_cast<double>(tracer_.dropped()); });
}

void process::add_timers() {
    loop_.before_poll([this] { flush(); });
    loop_.every(tick_interval, [this] { tick(); });
    for (int const number : {SIGTERM, SIGINT})
        loop_.on_signal(number, [this] { begin_shutdown(); });
    loop_.on_signal(SIGHUP, [this] { reload_settings(); });
}

void process::flush() {
    for (int round = 0; round < flush_rounds; ++round) {
        core_->flush();
        sections_->flush();
    }
    peer_server_->flush();
    sockets_.flush();
}

void process::tick() {
    // Timers run whether or not a pause was detected.
    static_cast<void>(begin_wakeup());
    sections_->tick(now_);
    peer_server_->tick(now_);
    log_.tick(now_);
    if (now_ - last_drop_report_at_ >= drop_report_interval) {
        last_drop_report_at_ = now_;
        auto const total = sockets_.sender().dropped();
        if (total != reported_drops_)
            log(make_event(datagrams_not_sent, step::route, {},
                static_cast<std::int64_t>(total - reported_drops_)));
        reported_drops_ = total;
    }
    if (forced_stop_at_ && core_->is_finished())
        finish(false);
    else if (forced_stop_at_ && now_ >= *forced_stop_at_)
        finish(true);
}

void process::begin_shutdown() {
    static_cast<void>(begin_wakeup());
    if (forced_stop_at_)
        return finish(true);
    forced_stop_at_ = now_ + settings_.stop_deadline;
    log(make_event(process_stopping, step::stop, {},
        settings_.stop_deadline / std::chrono::milliseconds(1)));
    core_->stop(settings_.stop_deadline);
}

void process::finish(bool is_forced) {
    flush();
    auto const aborted = is_forced ? core_->outstanding() : 0;
    log(make_event(is_forced ? process_shutdown_forced : process_finished,
        step::stop, {}, static_cast<std::int64_t>(aborted)));
    status_ = aborted > 0 ? 1 : 0;
    loop_.quit();
}

void process::open_trace_file() {
    if (auto const ec = tracer_.open(settings_.trace_file))
        report(trace_file_not_opened, {.code = ec, .step = step::start});
}

void process::report(std::uint16_t number, step_error const& error) {
    auto const text = error.code.message();
    log(make_event(number, error.step, error.peer, 0, text));
}

void process::reload_settings() {
    static_cast<void>(begin_wakeup());
    auto const next = read_settings(settings_file_, settings_.role);
    if (next.value)
        return apply_settings(*next.value);
    log(make_event(
        config::settings_event::rejected, step::start, {}, 0, next.fault));
}

void process::apply_settings(config::settings const& next) {
    auto const change = compare_settings(settings_, next);
    settings_.log_directory = next.log_directory;
    settings_.trace_file = next.trace_file;
    settings_.stop_deadline = next.stop_deadline;
    set_glog_directory(settings_.log_directory);
    open_trace_file();
    for (auto const key : change.applicable)
        log(make_event(
            config::settings_event::reloaded, step::start, {}, 0, key));
    for (auto const key : change.needs_restart)
        log(make_event(
            config::settings_event::needs_restart, step::start, {}, 0, key));
}

} // namespace radishspread::runtime
