#ifndef RADISHSPREAD_WIRE_RS_WIRE_LIMITS_HPP
#define RADISHSPREAD_WIRE_RS_WIRE_LIMITS_HPP

#include <cstddef>
#include <cstdint>

namespace radishspread::wire {

/// Maximum length of a section name in a digest, in bytes. Eight names of this
/// length fit into one datagram.
inline constexpr std::size_t max_section_name = 128;

/// Maximum size of an answer, in bytes. It bounds the memory that a caller
/// allocates because of one packet.
inline constexpr std::uint32_t max_answer_size = 1U << 20U;

/// Largest id of a failure domain.
inline constexpr std::uint16_t max_domain_id = 64;

/// Maximum number of agents that may have forwarded a packet. An opening is
/// forwarded at most 3 times; a packet of a flow that was handed over several
/// times may be forwarded more often. The limit ends forwarding loops.
inline constexpr std::uint8_t max_passes = 16;

} // namespace radishspread::wire

#endif
