#include <radishspread/config/rs_packet_settings.hpp>

#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/config/internal/rs_yaml_tree.hpp>

#include <array>

namespace radishspread::config {

using namespace internal;

namespace {

constexpr std::array<std::string_view, 2> roles{"balancer", "agent"};

constexpr double min_link_mbit_per_s = 0.1;
constexpr double max_link_mbit_per_s = 1'000'000;

constexpr double min_drain_bound_ms = 100;
constexpr double max_drain_bound_ms = 3'600'000;

constexpr std::uint32_t min_item_bytes = 1024;
constexpr std::uint32_t max_item_bytes = 16U << 20U;

constexpr double min_reads_per_s = 1;
constexpr double max_reads_per_s = 1'000'000;

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

packet_settings read_settings(
    yaml_node const& root, role expected, fault_list& faults) {
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
    auto const link = top.fraction("link_mbit_per_s", min_link_mbit_per_s,
        max_link_mbit_per_s, presence::optional);
    out.link_mbit_per_s = link.value_or(out.link_mbit_per_s);
    auto const drain = top.fraction("drain_bound_ms", min_drain_bound_ms,
        max_drain_bound_ms, presence::optional);
    if (drain)
        out.drain_bound =
            std::chrono::milliseconds(static_cast<std::int64_t>(*drain));
    auto const item = top.integer<std::uint32_t>(
        "max_item_bytes", min_item_bytes, max_item_bytes, presence::optional);
    out.max_item_size = item.value_or(out.max_item_size);
    auto const reads = top.fraction(
        "reads_per_s", min_reads_per_s, max_reads_per_s, presence::optional);
    out.reads_per_second = reads.value_or(out.reads_per_second);
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
    auto value = read_settings(root, expected, faults);
    if (!faults.empty())
        return {.value = std::nullopt, .faults = faults.take()};
    return {.value = std::move(value), .faults = {}};
}

} // namespace radishspread::config
