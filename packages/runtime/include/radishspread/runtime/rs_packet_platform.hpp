#ifndef RADISHSPREAD_RUNTIME_RS_PACKET_PLATFORM_HPP
#define RADISHSPREAD_RUNTIME_RS_PACKET_PLATFORM_HPP

#include <radishspread/core/rs_flow_packet.hpp>
#include <radishspread/core/rs_item_follower.hpp>
#include <radishspread/core/rs_item_page.hpp>
#include <radishspread/core/rs_packet_flow.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Adapter to a platform: its names, its packet format and the calls to its
/// configuration service. Contains no load balancing decisions.
template <class Platform>
concept packet_platform = requires(std::span<std::byte const> bytes,
    std::span<std::byte> buffer, packet_flow const& flow,
    std::uint32_t sequence, item_call const& call, std::string& body) {
    // Decodes a datagram; empty if it is malformed.
    { Platform::decode(bytes) } -> std::same_as<std::optional<flow_packet>>;
    // Clears the flag of a returned packet, so that it can be sent again.
    Platform::clear_returned_flag(buffer);
    // Encodes a reset to the caller of the flow.
    {Platform::encode_reset(flow, sequence)};
    // Path and query of a call to the configuration service.
    { Platform::path_of(call) } -> std::same_as<std::string>;
    // Parses the reply to a read or watch in place, which overwrites `body`.
    // Empty if unreadable.
    { Platform::parse_page(body) } -> std::same_as<std::optional<item_page>>;
    // Prefixes of the names of the items to follow, backend servers last.
    { Platform::prefixes() } -> std::same_as<std::vector<std::string>>;
    // Header with the era of a reply of the configuration service, see
    // `item_version`; null: it sends none.
    { Platform::era_header() } -> std::convertible_to<char const*>;
    // HTTP path that the fabric polls for the readiness of the process.
    { Platform::readiness_path() } -> std::convertible_to<char const*>;
};

} // namespace radishspread::runtime

#endif
