#include <radishspread/runtime/rs_event_log.hpp>
#include <radishspread/runtime/rs_make_event.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>

#include <glog/logging.h>

namespace radishspread::runtime {

namespace {

void append_field(
    std::string& out, std::string_view name, std::string_view value) {
    out += ", ";
    out += name;
    out += '=';
    out += value;
}

void append_number(
    std::string& out, std::string_view name, std::int64_t value) {
    if (value != 0)
        append_field(out, name, std::to_string(value));
}

} // namespace

void format_event(
    std::string& out, std::string_view text, log_event const& event) {
    out = "RS" + std::to_string(event.number) + ' ';
    out += text;
    out += " (step=";
    out += to_string(event.step);
    if (event.peer.is_set())
        append_field(out, "peer", to_string(event.peer));
    append_number(out, "service", event.service);
    if (event.flow != 0)
        append_field(out, "flow", std::to_string(event.flow));
    append_number(out, "request", event.request);
    if (event.reason != reason::none)
        append_field(out, "reason", to_string(event.reason));
    append_number(out, "value", event.value);
    if (!event.text.empty())
        append_field(out, "text", event.text);
    out += ')';
}

event_log::event_log(log_output output, event_log_options options)
    : output_(std::move(output)), options_(options) {
    add(runtime_events);
}

void event_log::add(std::span<event_description const> catalogue) {
    for (auto const& it : catalogue)
        states_[it.number].description = &it;
}

void event_log::write(instant now, log_event const& event) {
    auto& state = states_[event.number];
    if (!state.has_window || now - state.window_start >= options_.window) {
        report_suppressed(event.number, state);
        state.window_start = now;
        state.has_window = true;
        state.written = 0;
    }
    if (state.written >= options_.lines_per_window) {
        ++state.suppressed;
        return;
    }
    ++state.written;
    auto const* description = state.description;
    format_event(line_,
        description != nullptr ? description->text
                               : "event not in the catalogue",
        event);
    output_(description != nullptr ? description->severity : severity::error,
        line_);
}

void event_log::tick(instant now) {
    for (auto& [number, state] : states_)
        if (state.suppressed > 0 && now - state.window_start >= options_.window)
            report_suppressed(number, state);
}

void event_log::report_suppressed(std::uint16_t number, event_state& state) {
    if (state.suppressed == 0)
        return;
    std::string const text = "RS" + std::to_string(number);
    auto const summary = make_event(
        events_suppressed, step::receive, {}, state.suppressed, text);
    state.suppressed = 0;
    auto const& description = runtime_events.front();
    format_event(line_, description.text, summary);
    output_(description.severity, line_);
}

void start_glog(std::string const& program, std::string const& directory) {
    // glog stores the pointer, so the name must never be destroyed.
    static std::string const name = program;
    google::InitGoogleLogging(name.c_str());
    set_glog_directory(directory);
}

void set_glog_directory(std::string const& directory) {
    FLAGS_logtostderr = directory.empty();
    if (directory.empty())
        return;
    auto const prefix = directory + "/radishspread.";
    for (auto const level :
        {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR})
        google::SetLogDestination(
            level, (prefix + google::GetLogSeverityName(level) + '.').c_str());
    // Unbuffered, since operators read the file while the process runs.
    FLAGS_logbufsecs = 0;
}

log_output glog_output() {
    return [](severity level, std::string_view line) {
        if (level == severity::info)
            LOG(INFO) << line;
        else if (level == severity::warning)
            LOG(WARNING) << line;
        else
            LOG(ERROR) << line;
    };
}

} // namespace radishspread::runtime
