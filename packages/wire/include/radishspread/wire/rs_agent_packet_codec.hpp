#ifndef RADISHSPREAD_WIRE_RS_AGENT_PACKET_CODEC_HPP
#define RADISHSPREAD_WIRE_RS_AGENT_PACKET_CODEC_HPP

#include <radishspread/core/rs_agent_packet.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <span>

namespace radishspread::wire {

/// Size of the header in front of the packet of an `agent_packet`, in bytes.
inline constexpr std::size_t agent_packet_header_size = 44;

/// Encodes the header of a message. The sender appends the packet unchanged.
[[nodiscard]] std::array<std::byte, agent_packet_header_size>
encode_agent_packet_header(agent_packet const& message);

/// Decodes a datagram. Returns an empty value if the datagram is too short or a
/// field has an invalid value. The packet in the result points into `data`.
[[nodiscard]] std::optional<agent_packet> decode_agent_packet(
    std::span<std::byte const> data);

} // namespace radishspread::wire

#endif
