#ifndef RADISHSPREAD_RUNTIME_RS_SECTION_TAG_HPP
#define RADISHSPREAD_RUNTIME_RS_SECTION_TAG_HPP

#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <string>
#include <string_view>

namespace radishspread::runtime {

/// Maximum size of a section in bytes, which also bounds the body read from the
/// configuration service or a peer.
inline constexpr std::size_t max_section_size = 1U << 20U;

/// Value of the header `x-tag`: 16 hex digits of the keyed tag over the name, a
/// NUL byte, the revision in decimal, a NUL byte and the body.
[[nodiscard]] std::string section_tag(fleet_key const& key,
    std::string_view name, revision held, std::string_view body);

} // namespace radishspread::runtime

#endif
