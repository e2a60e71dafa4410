#include <radishspread/runtime/rs_packet_event_log.hpp>

#include <radishspread/runtime/rs_clock.hpp>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace radishspread::runtime {

namespace {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr std::array<std::string_view, 3> severity_names{
    "info", "warning", "error"};

void add_text(json_writer& out, std::string_view key, std::string_view value) {
    out.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void add_number(json_writer& out, std::string_view key, std::int64_t value) {
    out.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
    out.Int64(value);
}

void add_event(json_writer& out, packet_log const& event) {
    if (event.flow.caller.is_set()) {
        add_text(out, "flow", flow_text(event.flow));
        add_text(out, "caller", to_string(event.flow.caller));
        add_text(out, "service_address", to_string(event.flow.service));
    }
    if (event.peer.is_set())
        add_text(out, "peer", to_string(event.peer));
    if (event.why != refusal::none)
        add_text(out, "reason", to_string(event.why));
    if (event.version != 0)
        add_number(
            out, "routes_version", static_cast<std::int64_t>(event.version));
    if (event.item.revision != 0) {
        add_number(out, "era", static_cast<std::int64_t>(event.item.era));
        add_number(
            out, "revision", static_cast<std::int64_t>(event.item.revision));
    }
    if (event.age_ms >= 0)
        add_number(out, "age_ms", event.age_ms);
    if (event.priority >= 0)
        add_number(out, "priority", event.priority);
    if (event.queued_for >= duration{0})
        add_number(
            out, "queued_ms", event.queued_for / std::chrono::milliseconds(1));
    if (!event.text.empty())
        add_text(out, "item", event.text);
    add_number(out, "value", event.value);
}

} // namespace

std::string flow_text(packet_flow const& flow) {
    std::string out(16, '0');
    std::array<char, 16> digits{};
    auto const end = std::to_chars(
        digits.data(), digits.data() + digits.size(), hash_value(flow), 16)
                         .ptr;
    std::copy_backward(digits.data(), end, out.data() + out.size());
    return out;
}

packet_event_log::packet_event_log(std::string process, int fd)
    : process_(std::move(process)), lines_(fd) {}

void packet_event_log::write(instant now, packet_log const& event) {
    auto const index = packet_event_index(event.number);
    if (index < packet_events.size())
        write(now, index, event);
}

void packet_event_log::write(
    instant now, std::size_t index, packet_log const& event) {
    auto& state = states_[index];
    if (now - state.window_start >= window) {
        state.window_start = now;
        state.written = 0;
    }
    if (state.written >= lines_per_window) {
        ++dropped_lines_;
        return;
    }
    ++state.written;
    write_line(now, packet_events[index], event);
}

void packet_event_log::write_line(instant now,
    event_description const& description, packet_log const& event) {
    rapidjson::StringBuffer buf;
    json_writer out(buf);
    out.StartObject();
    constexpr std::uint64_t nanoseconds_per_ms = 1'000'000;
    add_number(out, "time_ms",
        static_cast<std::int64_t>(wall_nanoseconds() / nanoseconds_per_ms));
    add_number(out, "uptime_us", now.time_since_epoch().count());
    add_text(out, "process", process_);
    add_text(out, "severity",
        severity_names[static_cast<std::size_t>(description.severity)]);
    add_number(out, "event", description.number);
    add_text(out, "text", description.text);
    add_event(out, event);
    out.EndObject();
    lines_.add({buf.GetString(), buf.GetSize()});
}

void packet_event_log::tick(instant now) {
    dropped_lines_ += lines_.take_dropped();
    if (dropped_lines_ > 0 && now >= next_report_at_) {
        next_report_at_ = now + window;
        auto const n = static_cast<std::int64_t>(dropped_lines_);
        dropped_lines_ = 0;
        write(now, {.number = packet_event::lines_dropped, .value = n});
    }
    flush();
}

} // namespace radishspread::runtime
