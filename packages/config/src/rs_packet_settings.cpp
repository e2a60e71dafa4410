#include <radishspread/config/rs_packet_settings.hpp>

#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/config/internal/rs_yaml_tree.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace radishspread::config {

using namespace internal;

namespace {

constexpr std::array<std::string_view, 2> roles{"balancer", "agent"};

/// Range of a figure that the platform fills in.
template <class Number> struct figure_range {
    Number minimum;
    Number maximum;
    Number least_given; ///< Smaller values are faults.
};

template <class Number> std::string number_text(Number value) {
    std::array<char, 32> buf;
    auto const end =
        std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    return {buf.data(), end};
}

/// Returns the nearest bound and adds a note if the value of `key` is a number
/// outside of the range. Such a figure is right where it comes from, so it does
/// not keep the process from starting.
template <class Number>
std::optional<Number> clamp_figure(map_reader& top, std::string_view key,
    figure_range<Number> const& range, fault_list& notes) {
    auto const* it = top.find(key, presence::optional);
    if (it == nullptr || it->kind != node_kind::plain)
        return std::nullopt;
    Number value{};
    auto const* end = it->text.data() + it->text.size();
    auto const [last, ec] = std::from_chars(it->text.data(), end, value);
    // Not a number; the caller reports it.
    if (ec != std::errc{} || last != end || !(value >= range.least_given))
        return std::nullopt;
    auto const used = std::clamp(value, range.minimum, range.maximum);
    if (used == value)
        return std::nullopt;
    notes.add(it->where, std::string(key),
        "expected a number from " + number_text(range.minimum) + " to " +
            number_text(range.maximum) + ", found " + it->text + "; " +
            number_text(used) + " is used");
    return used;
}

std::optional<double> read_figure(map_reader& top, std::string_view key,
    figure_range<double> const& range, fault_list& notes) {
    if (auto const used = clamp_figure(top, key, range, notes))
        return used;
    return top.fraction(key, range.minimum, range.maximum, presence::optional);
}

std::optional<std::int64_t> read_figure(map_reader& top, std::string_view key,
    figure_range<std::int64_t> const& range, fault_list& notes) {
    if (auto const used = clamp_figure(top, key, range, notes))
        return used;
    return top.integer<std::int64_t>(
        key, range.minimum, range.maximum, presence::optional);
}

constexpr figure_range<double> link_mbit_per_s{
    .minimum = 0.1, .maximum = 1'000'000, .least_given = 0};
constexpr figure_range<double> drain_bound_ms{
    .minimum = 100, .maximum = 3'600'000, .least_given = 0};
// An item of the store that fits in less would not describe anything, so less
// is a fault.
constexpr figure_range<std::int64_t> item_bytes{
    .minimum = 1024, .maximum = 16 << 20, .least_given = 1024};

constexpr figure_range<double> reads_per_s{
    .minimum = 1, .maximum = 1'000'000, .least_given = 1};

endpoint read_endpoint(map_reader& top, std::string_view key) {
    return top.address_and_port(key).value_or(endpoint{});
}

void read_peers(map_reader& top, packet_settings& out, fault_list& faults) {
    auto const items = top.list("peers", presence::optional);
    for (std::size_t n = 0; n < items.size(); ++n) {
        auto const peer = parse_endpoint(items[n].text);
        if (peer)
            out.peers.push_back(*peer);
        else
            faults.add(items[n].where, element_path("peers", n),
                "expected an IPv4 address and port such as 127.0.0.1:9000, "
                "found " +
                    describe(items[n]));
    }
}

void read_agent(map_reader& top, packet_settings& out) {
    out.backend_address = read_endpoint(top, "backend_address");
    out.outbound_address = read_endpoint(top, "outbound_address");
    out.service = top.text("service").value_or("");
}

void read_figures(map_reader& top, packet_settings& out, fault_list& notes) {
    auto const link =
        read_figure(top, "link_mbit_per_s", link_mbit_per_s, notes);
    out.link_mbit_per_s = link.value_or(out.link_mbit_per_s);
    auto const drain =
        read_figure(top, "drain_bound_ms", drain_bound_ms, notes);
    if (drain)
        out.drain_bound =
            std::chrono::milliseconds(static_cast<std::int64_t>(*drain));
    auto const item = read_figure(top, "max_item_bytes", item_bytes, notes);
    if (item)
        out.max_item_size = static_cast<std::size_t>(*item);
    auto const reads = read_figure(top, "reads_per_s", reads_per_s, notes);
    out.reads_per_second = reads.value_or(out.reads_per_second);
}

packet_settings read_settings(yaml_node const& root, role expected,
    fault_list& faults, fault_list& notes) {
    packet_settings out;
    map_reader top(root, {}, faults);
    auto const found = top.choice("role", roles);
    out.role = found ? static_cast<role>(*found) : expected;
    if (out.role != expected)
        top.fault("role", "expected the role named on the command line");
    out.name = top.text("name").value_or("");
    out.failure_domain = top.text("failure_domain").value_or("");
    out.packet_address = read_endpoint(top, "packet_address");
    out.readiness_address = read_endpoint(top, "readiness_address");
    out.peer_port = top.integer<std::uint16_t>("peer_port", 1).value_or(0);
    out.configuration_service = read_endpoint(top, "configuration_service");
    read_peers(top, out, faults);
    auto const stop = top.integer<std::uint32_t>(
        "stop_deadline_ms", 100, 3'600'000, presence::optional);
    if (stop)
        out.stop_deadline = std::chrono::milliseconds(*stop);
    read_figures(top, out, notes);
    if (out.role == role::agent)
        read_agent(top, out);
    top.finish();
    return out;
}

} // namespace

parsed_packet_settings parse_packet_settings(
    std::string_view text, std::string_view file, role expected) {
    fault_list faults(file);
    auto const root = parse_yaml(text, faults);
    if (!faults.empty())
        return {.value = std::nullopt, .faults = faults.take()};
    fault_list notes(file);
    auto value = read_settings(root, expected, faults, notes);
    if (!faults.empty())
        return {.value = std::nullopt, .faults = faults.take()};
    return {.value = std::move(value), .faults = {}, .clamped = notes.take()};
}

} // namespace radishspread::config
