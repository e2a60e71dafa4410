#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_MAP_READER_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_MAP_READER_HPP

#include <radishspread/config/internal/rs_fault_list.hpp>
#include <radishspread/config/internal/rs_yaml_node.hpp>
#include <radishspread/core/rs_endpoint.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::config::internal {

/// Maximum length of the name of a service, backend server, host or failure
/// domain. With its prefix, a section name stays below the 128 bytes that a
/// digest allows.
inline constexpr std::size_t max_name = 64;

/// Whether a missing key is a fault.
enum class presence : std::uint8_t { required, optional };

/// Reads the keys of one YAML map and reports all faults: duplicate, missing
/// and unknown keys, wrong types and values out of range. Each reading function
/// returns an empty result if the value is missing or invalid.
class map_reader {
public:
    map_reader(yaml_node const& node, std::string path, fault_list& faults);

    /// Returns the value of `key`, of any type, or null.
    yaml_node const* find(std::string_view key, presence need);

    template <std::integral Integer>
    std::optional<Integer> integer(std::string_view key, Integer minimum,
        Integer maximum = std::numeric_limits<Integer>::max(),
        presence need = presence::required) {
        auto const it = number(key, static_cast<std::int64_t>(minimum),
            static_cast<std::int64_t>(maximum), need);
        if (!it)
            return std::nullopt;
        return static_cast<Integer>(*it);
    }

    std::optional<double> fraction(std::string_view key, double minimum,
        double maximum, presence need = presence::required);

    /// Reads a string that is not empty.
    std::optional<std::string> text(
        std::string_view key, presence need = presence::required);

    /// Reads a name that satisfies `is_name`.
    std::optional<std::string> name(
        std::string_view key, presence need = presence::required);

    std::optional<endpoint> address_and_port(
        std::string_view key, presence need = presence::required);

    /// Reads one of `choices` and returns its index.
    std::optional<std::size_t> choice(std::string_view key,
        std::span<std::string_view const> choices,
        presence need = presence::required);

    /// Returns the elements of a list; empty if it is missing or not a list.
    std::span<yaml_node const> list(
        std::string_view key, presence need = presence::required);

    /// Reports all keys that have not been read as unknown keys.
    void finish();

    /// Adds a fault at the position of the value of `key`, or of the map if the
    /// key is missing.
    void fault(std::string_view key, std::string expected);

    /// Returns the path of `key` from the root, such as "limits.queue".
    [[nodiscard]] std::string path_of(std::string_view key) const;

private:
    std::optional<std::int64_t> number(std::string_view key,
        std::int64_t minimum, std::int64_t maximum, presence need);

    /// Returns the scalar value of `key`. Any other kind of node is a fault.
    yaml_node const* scalar(
        std::string_view key, presence need, std::string const& expected);

    /// Reports that `key` has the value `it` instead of the expected one.
    void mismatch(
        std::string_view key, std::string const& expected, yaml_node const& it);

    yaml_node const& node_;
    std::string path_;
    fault_list& faults_;
    std::map<std::string_view, yaml_node const*> values_;
    std::vector<std::string_view> known_;
};

/// Returns the path of the list element at `index`, such as "peers[1]".
[[nodiscard]] std::string element_path(
    std::string_view path, std::size_t index);

/// Reports duplicate values of one key among the elements of a list.
template <class Value> class unique_values {
public:
    void add(map_reader& reader, std::string_view key,
        std::optional<Value> const& value) {
        if (value && !seen_.emplace(*value, seen_.size()).second)
            reader.fault(key, "expected a unique value, found a duplicate");
    }

private:
    std::map<Value, std::size_t> seen_;
};

/// True for 1 to 64 letters, digits, '.', '_' or '-', not starting with '.' or
/// '-'.
[[nodiscard]] bool is_name(std::string_view text);

} // namespace radishspread::config::internal

#endif
