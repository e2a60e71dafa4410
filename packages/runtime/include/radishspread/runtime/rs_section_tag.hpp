#ifndef RADISHSPREAD_RUNTIME_RS_SECTION_TAG_HPP
#define RADISHSPREAD_RUNTIME_RS_SECTION_TAG_HPP

#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <string>
#include <string_view>

namespace radishspread::runtime {

/// Largest section, and so the largest body read from any peer, in bytes.
inline constexpr std::size_t max_section_size = 1U << 20U;

/// Value of the header `x-tag`: 16 hex digits of the keyed tag over name, NUL,
/// revision in decimal, NUL, body.
[[nodiscard]] std::string section_tag(fleet_key const& key,
    std::string_view name, revision held, std::string_view body);

} // namespace radishspread::runtime

#endif
