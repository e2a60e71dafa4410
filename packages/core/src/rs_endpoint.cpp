#include <radishspread/core/rs_endpoint.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace radishspread {

std::string to_string(endpoint value) {
    in_addr address{.s_addr = htonl(value.address)};
    char buf[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address, buf, sizeof buf);
    return std::string(buf) + ':' + std::to_string(value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string const host(text.substr(0, colon));
    in_addr address{};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1)
        return std::nullopt;
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    bool const is_whole = end == digits.data() + digits.size();
    if (ec != std::errc{} || !is_whole || port == 0)
        return std::nullopt;
    return endpoint{.address = ntohl(address.s_addr), .port = port};
}

} // namespace radishspread
