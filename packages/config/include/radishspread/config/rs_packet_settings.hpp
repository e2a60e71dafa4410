#ifndef RADISHSPREAD_CONFIG_RS_PACKET_SETTINGS_HPP
#define RADISHSPREAD_CONFIG_RS_PACKET_SETTINGS_HPP

#include <radishspread/config/rs_fault.hpp>
#include <radishspread/config/rs_settings.hpp>
#include <radishspread/core/rs_endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::config {

/// Settings of a process that forwards flows of opaque packets.
struct packet_settings {
    config::role role = config::role::balancer;
    std::string name;
    std::string failure_domain;
    endpoint packet_address;     ///< UDP: for packets of callers or balancers.
    endpoint readiness_address;  ///< HTTP endpoint of the readiness probe.
    std::uint16_t peer_port = 0; ///< UDP and TCP, between peers.
    endpoint configuration_service;
    std::vector<endpoint> peers; ///< Hosts of other processes; port is unused.
    duration stop_deadline = std::chrono::seconds(5);
    double link_mbit_per_s = 10; ///< Bandwidth of the host's link.
    /// Time within which no opening may go to a backend server any more once
    /// the configuration service has acknowledged that it drains.
    duration drain_bound = std::chrono::seconds(2);
    /// Largest value of an item of the configuration service, in bytes.
    std::size_t max_item_size = 1U << 20U;
    /// Reads that the configuration service takes in a second from all
    /// processes together.
    double reads_per_second = 2000;
    endpoint backend_address;  ///< Agent: the backend server receives here.
    endpoint outbound_address; ///< Agent: the backend server sends here.
    std::string service;       ///< Agent: name of the service.

    friend bool operator==(
        packet_settings const&, packet_settings const&) = default;
};

/// Result of parsing. Has a value if and only if there are no faults.
struct parsed_packet_settings {
    std::optional<packet_settings> value;
    std::vector<fault> faults;
    /// Figures out of their range, for which the nearest bound is used.
    std::vector<fault> clamped;
};

/// Parses and validates a settings file. `file` is only used in faults.
[[nodiscard]] parsed_packet_settings parse_packet_settings(
    std::string_view text, std::string_view file, role expected);

} // namespace radishspread::config

#endif
