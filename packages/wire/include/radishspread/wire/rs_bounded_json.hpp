#ifndef RADISHSPREAD_WIRE_RS_BOUNDED_JSON_HPP
#define RADISHSPREAD_WIRE_RS_BOUNDED_JSON_HPP

#include <rapidjson/document.h>

#include <cstddef>
#include <string>

namespace radishspread::wire {

/// Limits on a JSON text from outside the process. They bound the stack and the
/// memory that parsing takes, whatever the text contains.
struct json_limits {
    /// Arrays and objects that may be open at the same time.
    std::size_t depth = 32;
    /// Values in the whole text, including arrays, objects and names of
    /// members; each takes 16 bytes.
    std::size_t values = 1U << 19U;
};

/// Parses `text` in place, which overwrites it; the strings in `out` refer to
/// it. Returns false if the text is malformed or exceeds a limit. All JSON that
/// this process has not written itself is parsed here.
[[nodiscard]] bool parse_bounded_json(rapidjson::Document& out,
    std::string& text, json_limits const& limits = {});

} // namespace radishspread::wire

#endif
