#ifndef RADISHSPREAD_CORE_RS_FLEET_KEY_HPP
#define RADISHSPREAD_CORE_RS_FLEET_KEY_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread {

/// 128-bit secret shared by all processes of a fleet; key for SipHash-2-4.
struct fleet_key {
    std::array<std::uint8_t, 16> bytes{};
};

/// SipHash-2-4 of `data` under `key`.
[[nodiscard]] std::uint64_t keyed_tag(
    fleet_key const& key, std::span<std::byte const> data);

} // namespace radishspread

#endif
