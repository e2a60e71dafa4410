#include <radishspread/config/rs_parse_section.hpp>
#include <radishspread/config/rs_settings.hpp>

#include <array>
#include <cstdlib>
#include <string_view>

using namespace radishspread;
using namespace radishspread::config;

/// Checks that each parsing result has either a value or faults.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size) {
    constexpr std::array<std::string_view, 3> names{
        "domains", "service/orders", "hosts/nl-west-a"};
    std::string_view const text(reinterpret_cast<char const*>(data), size);
    for (auto const& name : names) {
        auto const result = parse_section(name, 1, text);
        if ((result.value == nullptr) == result.faults.empty())
            std::abort();
    }
    auto const settings = parse_settings(text, "settings", role::agent);
    if (settings.value.has_value() != settings.faults.empty())
        std::abort();
    return 0;
}
