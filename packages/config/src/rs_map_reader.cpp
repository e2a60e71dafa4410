#include <radishspread/config/internal/rs_map_reader.hpp>

#include <algorithm>
#include <charconv>

namespace radishspread::config::internal {

namespace {

bool is_letter_or_digit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    auto const* end = text.data() + text.size();
    auto const [last, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || last != end)
        return std::nullopt;
    return value;
}

std::string join(std::span<std::string_view const> choices) {
    std::string text;
    for (auto const& each : choices)
        text += (text.empty() ? "" : " or ") + std::string(each);
    return text;
}

std::string format_number(double value) {
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

} // namespace

bool is_name(std::string_view text) {
    if (text.empty() || text.size() > max_name)
        return false;
    auto is_allowed = [](char c) {
        return is_letter_or_digit(c) || c == '.' || c == '_' || c == '-';
    };
    return text[0] != '.' && text[0] != '-' &&
           std::ranges::all_of(text, is_allowed);
}

std::string element_path(std::string_view path, std::size_t index) {
    return std::string(path) + '[' + std::to_string(index) + ']';
}

map_reader::map_reader(
    yaml_node const& node, std::string path, fault_list& faults)
    : node_(node), path_(std::move(path)), faults_(faults) {
    if (node.kind != node_kind::map) {
        // The message does not quote the text, which may be a secret if a key
        // file was passed as settings file.
        faults_.add(node.where, path_, "expected a map of keys and values");
        return;
    }
    for (std::size_t n = 0; n + 1 < node.items.size(); n += 2) {
        auto const& key = node.items[n];
        bool const is_scalar =
            key.kind == node_kind::plain || key.kind == node_kind::quoted;
        if (!is_scalar)
            faults_.add(
                key.where, path_, "expected a key, found " + describe(key));
        else if (!values_.emplace(key.text, &node.items[n + 1]).second)
            faults_.add(key.where, path_,
                "expected each key once, found duplicate " + describe(key));
    }
}

std::string map_reader::path_of(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
}

void map_reader::fault(std::string_view key, std::string expected) {
    auto const found = values_.find(key);
    faults_.add(found == values_.end() ? node_.where : found->second->where,
        path_of(key), std::move(expected));
}

void map_reader::mismatch(
    std::string_view key, std::string const& expected, yaml_node const& it) {
    faults_.add(it.where, path_of(key),
        "expected " + expected + ", found " + describe(it));
}

yaml_node const* map_reader::find(std::string_view key, presence need) {
    known_.push_back(key);
    auto const found = values_.find(key);
    if (found != values_.end())
        return found->second;
    if (need == presence::required && node_.kind == node_kind::map)
        faults_.add(node_.where, path_of(key), "expected this key, not found");
    return nullptr;
}

yaml_node const* map_reader::scalar(
    std::string_view key, presence need, std::string const& expected) {
    auto const* it = find(key, need);
    if (it == nullptr)
        return nullptr;
    if (it->kind == node_kind::plain || it->kind == node_kind::quoted)
        return it;
    mismatch(key, expected, *it);
    return nullptr;
}

std::optional<std::int64_t> map_reader::number(std::string_view key,
    std::int64_t minimum, std::int64_t maximum, presence need) {
    auto const expected = "an integer from " + std::to_string(minimum) +
                          " to " + std::to_string(maximum);
    auto const* it = scalar(key, need, expected);
    if (it == nullptr)
        return std::nullopt;
    auto const value = parse_number<std::int64_t>(it->text);
    bool const is_valid = it->kind == node_kind::plain && value &&
                          *value >= minimum && *value <= maximum;
    if (is_valid)
        return value;
    mismatch(key, expected, *it);
    return std::nullopt;
}

std::optional<double> map_reader::fraction(
    std::string_view key, double minimum, double maximum, presence need) {
    auto const expected = "a number from " + format_number(minimum) + " to " +
                          format_number(maximum);
    auto const* it = scalar(key, need, expected);
    if (it == nullptr)
        return std::nullopt;
    auto const value = parse_number<double>(it->text);
    bool const is_valid = it->kind == node_kind::plain && value &&
                          *value >= minimum && *value <= maximum;
    if (is_valid)
        return value;
    mismatch(key, expected, *it);
    return std::nullopt;
}

std::optional<std::string> map_reader::text(
    std::string_view key, presence need) {
    auto const* it = scalar(key, need, "a string that is not empty");
    if (it == nullptr)
        return std::nullopt;
    if (!it->text.empty())
        return it->text;
    mismatch(key, "a string that is not empty", *it);
    return std::nullopt;
}

std::optional<std::string> map_reader::name(
    std::string_view key, presence need) {
    std::string const expected =
        "a name of 1 to 64 letters, digits, '.', '_' or '-'";
    auto const* it = scalar(key, need, expected);
    if (it == nullptr)
        return std::nullopt;
    if (is_name(it->text))
        return it->text;
    mismatch(key, expected, *it);
    return std::nullopt;
}

std::optional<endpoint> map_reader::address_and_port(
    std::string_view key, presence need) {
    std::string const expected =
        "an IPv4 address and port such as 127.0.0.1:9000";
    auto const* it = scalar(key, need, expected);
    if (it == nullptr)
        return std::nullopt;
    auto const value = parse_endpoint(it->text);
    if (!value)
        mismatch(key, expected, *it);
    return value;
}

std::optional<std::size_t> map_reader::choice(std::string_view key,
    std::span<std::string_view const> choices, presence need) {
    auto const* it = scalar(key, need, join(choices));
    if (it == nullptr)
        return std::nullopt;
    auto const found = std::ranges::find(choices, it->text);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    mismatch(key, join(choices), *it);
    return std::nullopt;
}

std::span<yaml_node const> map_reader::list(
    std::string_view key, presence need) {
    auto const* it = find(key, need);
    if (it == nullptr)
        return {};
    if (it->kind == node_kind::sequence)
        return it->items;
    mismatch(key, "a list", *it);
    return {};
}

void map_reader::finish() {
    for (std::size_t n = 0; n + 1 < node_.items.size(); n += 2) {
        auto const& key = node_.items[n];
        bool const is_scalar =
            key.kind == node_kind::plain || key.kind == node_kind::quoted;
        if (node_.kind != node_kind::map || !is_scalar)
            continue;
        if (std::ranges::find(known_, key.text) == known_.end())
            faults_.add(key.where, path_,
                "expected a known key, found " + describe(key));
    }
}

} // namespace radishspread::config::internal
