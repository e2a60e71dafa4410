#include <radishspread/config/internal/rs_key_reader.hpp>

#include <sodium/utils.h>

#include <array>
#include <fstream>
#include <string>

namespace radishspread::config::internal {

namespace {

constexpr std::size_t digits = 2 * sizeof(fleet_key::bytes);

/// Maximum number of bytes read from a key file. Without the limit, reading a
/// device file would not end.
constexpr std::size_t max_key_file_size = 128;

std::optional<std::string> read_file(std::filesystem::path const& file) {
    std::ifstream in(file, std::ios::binary);
    std::array<char, max_key_file_size> buf{};
    in.read(buf.data(), buf.size());
    if (in.bad() || in.gcount() == 0)
        return std::nullopt;
    return std::string(buf.data(), static_cast<std::size_t>(in.gcount()));
}

fleet_key read_key_file(map_reader& top, std::string const& name,
    std::filesystem::path const& directory) {
    auto text = read_file(directory / name);
    if (!text) {
        top.fault("key_file", "expected a readable file, found none");
        return {};
    }
    text->erase(text->find_last_not_of(" \t\r\n") + 1);
    auto const key = parse_key(*text);
    if (!key)
        top.fault("key_file", "expected a file of 32 hex digits");
    return key.value_or(fleet_key{});
}

} // namespace

std::optional<fleet_key> parse_key(std::string_view text) {
    fleet_key key;
    char const* end = nullptr;
    std::size_t size = 0;
    bool const is_hex =
        text.size() == digits &&
        sodium_hex2bin(key.bytes.data(), key.bytes.size(), text.data(),
            text.size(), nullptr, &size, &end) == 0 &&
        size == key.bytes.size();
    if (!is_hex)
        return std::nullopt;
    return key;
}

fleet_key read_key(map_reader& top, std::filesystem::path const& directory) {
    auto const* inline_key = top.find("key", presence::optional);
    auto const file = top.text("key_file", presence::optional);
    bool const has_file = top.find("key_file", presence::optional) != nullptr;
    if ((inline_key != nullptr) == has_file) {
        top.fault("key", "expected either key or key_file");
        return {};
    }
    if (file)
        return read_key_file(top, *file, directory);
    if (inline_key == nullptr)
        return {};
    bool const is_scalar = inline_key->kind == node_kind::plain ||
                           inline_key->kind == node_kind::quoted;
    auto const key =
        is_scalar ? parse_key(inline_key->text) : std::optional<fleet_key>{};
    if (!key)
        top.fault("key", "expected 32 hex digits");
    return key.value_or(fleet_key{});
}

} // namespace radishspread::config::internal
