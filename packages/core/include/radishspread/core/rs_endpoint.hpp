#ifndef RADISHSPREAD_CORE_RS_ENDPOINT_HPP
#define RADISHSPREAD_CORE_RS_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishspread {

/// IPv4 address and port, both in host byte order.
struct endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null
    // pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(endpoint const&, endpoint const&) = default;

    /// False for the default value, which means "no endpoint".
    [[nodiscard]] bool is_set() const { return port != 0; }
};

/// Text form "a.b.c.d:port".
[[nodiscard]] std::string to_string(endpoint value);

/// Parses "a.b.c.d:port"; empty if the text has any other form or port 0.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace radishspread

#endif
