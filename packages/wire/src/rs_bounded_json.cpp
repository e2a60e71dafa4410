#include <radishspread/wire/rs_bounded_json.hpp>

#include <rapidjson/reader.h>

namespace radishspread::wire {

namespace {

/// Passes the parser's events on to `Handler` until a limit is exceeded. The
/// parser descends into an array or object only after the event for its start
/// has been accepted, so the limit of depth bounds its recursion too.
template <class Handler> class bounded_handler {
public:
    using Ch = char;
    using size_type = rapidjson::SizeType;

    bounded_handler(Handler& next, json_limits const& limits)
        : next_(next), limits_(limits) {}

    // NOLINTBEGIN(readability-identifier-naming): names that rapidjson calls.
    bool Null() { return add_value() && next_.Null(); }
    bool Bool(bool it) { return add_value() && next_.Bool(it); }
    bool Int(int it) { return add_value() && next_.Int(it); }
    bool Uint(unsigned it) { return add_value() && next_.Uint(it); }
    bool Int64(std::int64_t it) { return add_value() && next_.Int64(it); }
    bool Uint64(std::uint64_t it) { return add_value() && next_.Uint64(it); }
    bool Double(double it) { return add_value() && next_.Double(it); }
    bool RawNumber(Ch const* it, size_type n, bool copies) {
        return add_value() && next_.RawNumber(it, n, copies);
    }
    bool String(Ch const* it, size_type n, bool copies) {
        return add_value() && next_.String(it, n, copies);
    }
    bool Key(Ch const* it, size_type n, bool copies) {
        return add_value() && next_.Key(it, n, copies);
    }
    bool StartObject() { return open() && next_.StartObject(); }
    bool StartArray() { return open() && next_.StartArray(); }
    bool EndObject(size_type n) { return close() && next_.EndObject(n); }
    bool EndArray(size_type n) { return close() && next_.EndArray(n); }
    // NOLINTEND(readability-identifier-naming)

private:
    bool add_value() { return ++values_ <= limits_.values; }
    bool open() { return ++depth_ <= limits_.depth && add_value(); }
    bool close() {
        --depth_;
        return true;
    }

    Handler& next_;
    json_limits const& limits_;
    std::size_t depth_ = 0;
    std::size_t values_ = 0;
};

} // namespace

bool parse_bounded_json(
    rapidjson::Document& out, std::string& text, json_limits const& limits) {
    bool is_valid = false;
    auto const parse = [&](rapidjson::Document& document) {
        rapidjson::Reader reader;
        rapidjson::InsituStringStream stream(text.data());
        bounded_handler handler(document, limits);
        is_valid = !reader.Parse<rapidjson::kParseInsituFlag>(stream, handler)
                        .IsError();
        return is_valid;
    };
    out.Populate(parse);
    return is_valid;
}

} // namespace radishspread::wire
