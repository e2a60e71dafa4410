#ifndef RADISHSPREAD_WIRE_RS_ITEM_CODEC_HPP
#define RADISHSPREAD_WIRE_RS_ITEM_CODEC_HPP

#include <radishspread/core/rs_item_page.hpp>

#include <optional>
#include <string>

namespace radishspread::wire {

/// Encodes the items that one process sends to another as JSON. The members
/// correspond to those of `fleet_change`; times are in milliseconds.
[[nodiscard]] std::string encode_items(item_page const& page);

/// Decodes items from JSON. Parses in place and overwrites `text`. Returns an
/// empty value if the text or any item in it is malformed.
[[nodiscard]] std::optional<item_page> decode_items(std::string& text);

} // namespace radishspread::wire

#endif
