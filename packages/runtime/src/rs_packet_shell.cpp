#include <radishspread/runtime/rs_packet_shell.hpp>

#include <radishspread/config/internal/rs_read_text.hpp>
#include <radishspread/config/rs_command_line.hpp>
#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/runtime/rs_caught_signals.hpp>
#include <radishspread/runtime/rs_crash_report.hpp>
#include <radishspread/runtime/rs_metrics_server.hpp>
#include <radishspread/runtime/rs_process_resources.hpp>
#include <radishspread/wire/rs_agent_packet_codec.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>

namespace radishspread::runtime {

namespace {

/// Interval of work that has no timer of its own: timeouts of calls, sweeps of
/// tables, the log.
constexpr duration tick_interval = std::chrono::milliseconds(100);
/// Time beyond the stop deadline after which the process is ended.
constexpr duration stop_margin = std::chrono::milliseconds(500);
/// Time beyond the stop deadline for which an address may be taken at the
/// start, because a predecessor ends by its own deadline.
constexpr duration predecessor_margin = std::chrono::seconds(1);
constexpr duration malformed_report_interval = std::chrono::seconds(1);

} // namespace

packet_shell::packet_shell(config::packet_settings settings,
    std::string settings_file, std::vector<config::fault> clamped)
    : settings_(std::move(settings)), settings_file_(std::move(settings_file)),
      clamped_(std::move(clamped)), now_(monotonic_now()), started_at_(now_),
      log_(settings_.name), opening_metrics_(metrics_),
      sockets_([this](socket_key key, receive_batch const& batch,
                   std::size_t count) {
          update_clock();
          // Without all its sockets the process could not pass packets on.
          if (is_open())
              hooks_.receive(key, batch, count);
      }),
      timer_([this] { tick(); }) {
    for (auto const& it : packet_events)
        event_counters_.push_back(&metrics_.add_counter(
            "radishspread_events_total", "Events by number, see docs/events.md",
            "event=\"" + std::to_string(it.number) + '"'));
    add_resource_gauges(metrics_);
    add_server_gauges();
}

void packet_shell::add_server_gauges() {
    metrics_.add_gauge("radishspread_http_connections",
        "Open connections of the HTTP server.",
        [this] { return static_cast<double>(server_.connections()); });
    metrics_.add_gauge("radishspread_http_refusals",
        "Requests and connections that the HTTP server has refused.", [this] {
            double sum = 0;
            for (std::size_t n = 0; n != http_refusal_count; ++n)
                sum += static_cast<double>(
                    server_.refusals(static_cast<http_refusal>(n)));
            return sum;
        });
}

void packet_shell::log(packet_log const& event) {
    auto const index = packet_event_index(event.number);
    if (index == packet_events.size())
        return;
    event_counters_[index]->add();
    opening_metrics_.record(event);
    log_.write(now_, index, event);
}

void packet_shell::report_malformed(endpoint from) {
    ++malformed_count_;
    if (now_ < next_malformed_report_at_)
        return;
    next_malformed_report_at_ = now_ + malformed_report_interval;
    log({.number = packet_event::malformed_datagram,
        .peer = from,
        .value = static_cast<std::int64_t>(malformed_count_)});
    malformed_count_ = 0;
}

void packet_shell::send(endpoint to, agent_packet const& message) {
    std::array<std::byte, wire::max_datagram> buf;
    auto const head = wire::encode_agent_packet_header(message);
    if (head.size() + message.packet.size() > buf.size())
        return report_malformed(to);
    std::copy(head.begin(), head.end(), buf.begin());
    std::copy(message.packet.begin(), message.packet.end(),
        buf.begin() + head.size());
    sockets_.send(agent_side_socket, to,
        std::span(buf).first(head.size() + message.packet.size()));
}

void packet_shell::wake_at(std::optional<instant> due) {
    if (due)
        timer_.set(*due - now_);
    else
        timer_.clear();
}

int packet_shell::run(hooks role_hooks, char const* readiness_path) {
    hooks_ = std::move(role_hooks);
    update_clock();
    log_limits();
    log_clamped(clamped_);
    log({.number = packet_event::process_started, .text = settings_.name});
    log_.flush();
    limit_stop(
        settings_.stop_deadline + stop_margin, config::exit_stop_deadline);
    list_addresses(readiness_path);
    open_addresses();
    add_timers();
    tick();
    loop_.run();
    log_library_messages();
    log({.number = packet_event::process_stopped,
        .value = exit_status_,
        .text = stop_cause_});
    log_.flush();
    return exit_status_;
}

void packet_shell::list_socket(socket_key key, endpoint at) {
    closed_addresses_.push_back({.at = at, .open = [this, key, at] {
                                     auto const ec = sockets_.open(key, at);
                                     return ec ? ec.message() : std::string();
                                 }});
}

void packet_shell::list_addresses(char const* readiness_path) {
    auto const& it = settings_;
    endpoint const peer{
        .address = it.packet_address.address, .port = it.peer_port};
    if (it.role == config::role::agent) {
        list_socket(agent_side_socket, it.packet_address);
        list_socket(backend_side_socket, it.outbound_address);
    } else {
        list_socket(caller_side_socket, it.packet_address);
        list_socket(agent_side_socket, peer);
    }
    server_.add(readiness_path, [this] {
        bool const is_ready = !is_stopping() && is_open() && hooks_.is_ready();
        return http_response{.status = is_ready ? 200U : 503U};
    });
    server_.add(metrics_path, [this] { return metrics_response(metrics_); });
    for (auto const at : {it.readiness_address, peer})
        closed_addresses_.push_back({.at = at, .open = [this, at] {
                                         return server_.listen(at);
                                     }});
}

void packet_shell::open_addresses() {
    std::erase_if(closed_addresses_, [this](closed_address& it) {
        auto const text = it.open();
        bool const is_first_try = it.fault.empty();
        if (text.empty() && !is_first_try)
            log({.number = packet_event::address_opened,
                .peer = it.at,
                .value = (now_ - started_at_) / std::chrono::milliseconds(1)});
        else if (!text.empty() && is_first_try)
            log({.number = packet_event::listen_failed,
                .peer = it.at,
                .text = text});
        it.fault = text;
        return text.empty();
    });
}

void packet_shell::retry_addresses() {
    if (is_open())
        return;
    open_addresses();
    if (is_open() || stop_at_ ||
        now_ - started_at_ < settings_.stop_deadline + predecessor_margin)
        return;
    auto const& it = closed_addresses_.front();
    exit_status_ = 1;
    stop_cause_ = to_string(it.at) + " cannot be opened: " + it.fault;
    loop_.quit();
}

void packet_shell::add_timers() {
    loop_.every(tick_interval, [this] { tick(); });
    loop_.before_poll([this] { sockets_.flush(); });
    loop_.on_signal(SIGHUP, [this] { reload_settings(); });
    for (int const number : {SIGTERM, SIGINT})
        loop_.on_signal(number, [this, number] { begin_stop(number); });
}

void packet_shell::tick() {
    update_clock();
    retry_addresses();
    hooks_.tick();
    if (!was_ready_ && is_open() && hooks_.is_ready()) {
        was_ready_ = true;
        log({.number = packet_event::became_ready,
            .value = (now_ - started_at_) / std::chrono::milliseconds(1)});
    }
    log_library_messages();
    log_.tick(now_);
    if (stop_at_ && now_ >= *stop_at_)
        loop_.quit();
}

void packet_shell::log_limits() {
    auto const* role = settings_.role == config::role::agent ? " role=agent"
                                                             : " role=balancer";
    auto const text = version_and_limits() + role;
    log({.number = packet_event::limits_in_force, .text = text});
}

void packet_shell::log_clamped(std::vector<config::fault> const& clamped) {
    for (auto const& it : clamped) {
        auto const text = to_string(it);
        log({.number = packet_event::setting_clamped, .text = text});
    }
}

void packet_shell::log_library_messages() {
    for (auto const& it : take_library_messages())
        log({.number = packet_event::library_message, .text = it});
}

void packet_shell::begin_stop(int number) {
    update_clock();
    stop_cause_ = "stopped by signal " + std::to_string(number);
    if (stop_at_)
        return loop_.quit();
    stop_at_ = now_ + std::min(hooks_.shutdown_delay, settings_.stop_deadline);
    log({.number = packet_event::process_stopping});
    hooks_.stop();
    sockets_.flush();
    tick();
}

void packet_shell::reload_settings() {
    update_clock();
    auto const text = config::read_text(settings_file_);
    auto const next = config::parse_packet_settings(
        text.value_or(""), settings_file_, settings_.role);
    if (!next.value) {
        auto const fault =
            next.faults.empty() ? "" : to_string(next.faults.front());
        log({.number = packet_event::settings_reloaded,
            .value = -1,
            .text = fault});
        return;
    }
    log_clamped(next.clamped);
    // Addresses and names need a restart; only the stop deadline is applied.
    settings_.stop_deadline = next.value->stop_deadline;
    limit_stop(
        settings_.stop_deadline + stop_margin, config::exit_stop_deadline);
    log({.number = packet_event::settings_reloaded,
        .value = *next.value == settings_ ? 0 : 1});
}

} // namespace radishspread::runtime
