#ifndef RADISHSPREAD_CORE_RS_FLOW_LIST_HPP
#define RADISHSPREAD_CORE_RS_FLOW_LIST_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace radishspread {

/// Maximum number of flows in one list, so that it fits into a datagram.
inline constexpr std::size_t max_listed_flows = 150;

/// Encodes the `hash_value` of each flow as eight big-endian bytes.
[[nodiscard]] std::vector<std::byte> encode_flow_list(
    std::span<std::uint64_t const> flows);

/// Decodes a list and sorts it; ignores trailing bytes of an incomplete entry.
[[nodiscard]] std::vector<std::uint64_t> decode_flow_list(
    std::span<std::byte const> bytes);

} // namespace radishspread

#endif
