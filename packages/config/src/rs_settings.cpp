#include <radishspread/config/rs_settings.hpp>

#include <radishspread/config/internal/rs_key_reader.hpp>
#include <radishspread/config/internal/rs_limits_reader.hpp>
#include <radishspread/config/internal/rs_yaml_tree.hpp>

#include <array>
#include <filesystem>
#include <set>

namespace radishspread::config {

using namespace internal;

namespace {

constexpr std::array<std::string_view, 2> roles{"balancer", "agent"};

/// Maximum number of peers. A process would not query more peers than this.
constexpr std::size_t max_peers = 64;

/// Reads the role. A wrong role is reported once; the other settings are then
/// validated for the role in the file.
void read_role(map_reader& top, role expected, settings& out) {
    auto const found = top.choice("role", roles);
    out.role = found ? static_cast<role>(*found) : expected;
    if (out.role != expected)
        top.fault("role",
            "expected " +
                std::string(roles[static_cast<std::size_t>(expected)]) +
                " for this program, found " + std::string(roles[*found]));
}

/// Reads the address of this process. Peers reply to it, so it must be a
/// unicast address.
void read_address(map_reader& top, settings& out) {
    constexpr std::uint32_t first_multicast = 0xe0000000;
    auto const text = top.text("address");
    if (!text)
        return;
    auto const parsed = parse_endpoint(*text + ":1");
    bool const is_host =
        parsed && parsed->address != 0 && parsed->address < first_multicast;
    if (is_host)
        out.address = parsed->address;
    else
        top.fault("address",
            "expected the IPv4 address of this host such as 10.0.0.1, found '" +
                text->substr(0, max_name) + '\'');
}

void read_ports(map_reader& top, settings& out) {
    out.peer_port = top.integer<std::uint16_t>("peer_port", 1).value_or(0);
    out.metrics_port =
        top.integer<std::uint16_t>("metrics_port", 0, 65535, presence::optional)
            .value_or(0);
    if (out.peer_port != 0 && out.peer_port == out.metrics_port)
        top.fault("metrics_port", "expected another port than peer_port");
}

endpoint parse_peer(yaml_node const& it, std::string path, fault_list& faults) {
    auto const peer =
        it.kind == node_kind::plain || it.kind == node_kind::quoted
            ? parse_endpoint(it.text)
            : std::nullopt;
    if (!peer)
        faults.add(it.where, std::move(path),
            "expected an IPv4 address and port such as 127.0.0.1:9000, found " +
                describe(it));
    return peer.value_or(endpoint{});
}

void read_peers(map_reader& top, settings& out, fault_list& faults) {
    auto const items = top.list("peers", presence::optional);
    if (items.size() > max_peers)
        top.fault("peers", "expected at most 64 peers");
    std::set<std::string> seen;
    for (std::size_t n = 0; n < items.size(); ++n) {
        auto const path = element_path("peers", n);
        auto const peer = parse_peer(items[n], path, faults);
        if (peer.is_set() && !seen.insert(to_string(peer)).second)
            faults.add(items[n].where, path,
                "expected a unique value, found a duplicate");
        out.peers.push_back(peer);
    }
}

void read_outputs(map_reader& top, settings& out) {
    out.log_directory = top.text("log", presence::optional).value_or("");
    out.trace_file = top.text("trace", presence::optional).value_or("");
}

void read_agent(map_reader& top, settings& out) {
    out.service = top.name("service").value_or("");
    out.backend = top.integer<backend_id>("backend_server", 1).value_or(0);
    out.backend_address =
        top.address_and_port("backend_address").value_or(endpoint{});
}

settings read_settings(yaml_node const& root,
    std::filesystem::path const& directory, role expected, fault_list& faults) {
    settings out;
    map_reader top(root, {}, faults);
    read_role(top, expected, out);
    out.name = top.name("name").value_or("");
    out.failure_domain = top.name("failure_domain").value_or("");
    read_address(top, out);
    read_ports(top, out);
    out.configuration_service =
        top.address_and_port("configuration_service").value_or(endpoint{});
    out.key = read_key(top, directory);
    out.key_id = top.integer<std::uint8_t>("key_id", 1, 255, presence::optional)
                     .value_or(out.key_id);
    read_peers(top, out, faults);
    read_outputs(top, out);
    if (out.role == role::agent)
        read_agent(top, out);
    read_limits(top, out, faults);
    top.finish();
    return out;
}

} // namespace

parsed_settings parse_settings(
    std::string_view text, std::string_view file, role expected) {
    fault_list faults(file);
    auto const root = parse_yaml(text, faults);
    if (!faults.empty())
        return {.value = std::nullopt, .faults = faults.take()};
    auto const directory = std::filesystem::path(file).parent_path();
    auto value = read_settings(root, directory, expected, faults);
    if (!faults.empty())
        return {.value = std::nullopt, .faults = faults.take()};
    return {.value = std::move(value), .faults = {}};
}

} // namespace radishspread::config
