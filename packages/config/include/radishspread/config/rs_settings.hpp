#ifndef RADISHSPREAD_CONFIG_RS_SETTINGS_HPP
#define RADISHSPREAD_CONFIG_RS_SETTINGS_HPP

#include <radishspread/config/rs_fault.hpp>
#include <radishspread/core/rs_agent_options.hpp>
#include <radishspread/core/rs_balancer_options.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_fleet_key.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::config {

/// The program that the settings are for.
enum class role : std::uint8_t { balancer, agent };

/// Valid settings of one process, read from YAML.
struct settings {
    config::role role = config::role::balancer;
    std::string name;
    std::string failure_domain;
    std::uint32_t address = 0;      ///< IPv4, host byte order.
    std::uint16_t peer_port = 0;    ///< UDP and TCP.
    std::uint16_t metrics_port = 0; ///< 0 disables the endpoint.
    endpoint configuration_service;
    fleet_key key;
    std::uint8_t key_id = 1;
    std::vector<endpoint> peers;
    std::string log_directory; ///< If empty, standard error.
    std::string trace_file;    ///< If empty, no traces.
    duration stop_deadline = std::chrono::seconds(30);
    std::string service;       ///< Agent: name of the service.
    backend_id backend = 0;    ///< Agent: id of the backend server.
    endpoint backend_address;  ///< Agent: address of the backend server.
    balancer_options balancer; ///< Limits from the file, otherwise defaults.
    agent_options agent;       ///< Limits from the file, otherwise defaults.
};

/// Result of parsing. Has a value if and only if there are no faults.
struct parsed_settings {
    std::optional<settings> value;
    std::vector<fault> faults;
};

/// Parses and validates a settings file. `file` is used in faults, and a
/// relative `key_file` is resolved against its directory.
[[nodiscard]] parsed_settings parse_settings(
    std::string_view text, std::string_view file, role expected);

} // namespace radishspread::config

#endif
