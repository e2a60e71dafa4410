#ifndef RADISHSPREAD_WIRE_RS_ITEM_CODEC_HPP
#define RADISHSPREAD_WIRE_RS_ITEM_CODEC_HPP

#include <radishspread/core/rs_item_page.hpp>

#include <optional>
#include <string>

namespace radishspread::wire {

/// Items that one process passes to another, as JSON. All names and addresses
/// are as in `fleet_change`; times are milliseconds.
[[nodiscard]] std::string encode_items(item_page const& page);

/// Decodes the text, which is used as working memory. Empty if it is malformed;
/// an item that is malformed makes the whole text so.
[[nodiscard]] std::optional<item_page> decode_items(std::string& text);

} // namespace radishspread::wire

#endif
