#include <radishspread/runtime/rs_section_tag.hpp>

#include <cstdio>
#include <span>

namespace radishspread::runtime {

std::string section_tag(fleet_key const& key, std::string_view name,
    revision held, std::string_view body) {
    std::string buf;
    buf.reserve(name.size() + body.size() + 24);
    buf.append(name).push_back('\0');
    buf.append(std::to_string(held)).push_back('\0');
    buf.append(body);
    auto const tag = keyed_tag(key, std::as_bytes(std::span(buf)));
    char text[17];
    std::snprintf(
        text, sizeof text, "%016llx", static_cast<unsigned long long>(tag));
    return text;
}

} // namespace radishspread::runtime
