#include <radishspread/wire/rs_item_codec.hpp>

#include <radishspread/core/rs_item_limits.hpp>
#include <radishspread/wire/rs_bounded_json.hpp>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <limits>

namespace radishspread::wire {

namespace {

using json = rapidjson::Value;
using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr std::uint64_t microseconds_per_ms = 1000;

void write_number(json_writer& out, char const* key, std::uint64_t value) {
    out.Key(key);
    out.Uint64(value);
}

void write_endpoint(json_writer& out, char const* key, endpoint value) {
    out.Key(key);
    out.String(to_string(value).c_str());
}

void write_content(json_writer& out, route_set const& value) {
    write_number(out, "version", value.version);
    out.Key("routes");
    out.StartArray();
    for (auto const& it : value.routes) {
        out.StartObject();
        write_endpoint(out, "address", it.address);
        write_number(out, "service", it.service);
        write_number(out, "goal_ms",
            static_cast<std::uint64_t>(it.goal.count()) / microseconds_per_ms);
        write_number(out, "priority", it.priority);
        out.EndObject();
    }
    out.EndArray();
    out.Key("warmups");
    out.StartArray();
    for (auto const& it : value.warmups) {
        out.StartObject();
        write_number(out, "service", it.service);
        write_number(out, "period_ms",
            static_cast<std::uint64_t>(it.period.count()) /
                microseconds_per_ms);
        out.Key("openings_per_second");
        out.Double(it.openings_per_second);
        out.EndObject();
    }
    out.EndArray();
}

void write_content(json_writer& out, backend_announcement const& value) {
    write_endpoint(out, "backend", value.backend);
    write_number(out, "service", value.service);
    write_number(out, "domain", value.domain);
    write_number(out, "slots", value.slots);
    out.Key("is_draining");
    out.Bool(value.is_draining);
    write_number(out, "warmup_left_ms",
        static_cast<std::uint64_t>(value.warmup_left.count()) /
            microseconds_per_ms);
    write_number(out, "born", value.start_unix_ms);
}

void write_content(json_writer& out, domain_taken_out const& value) {
    write_number(out, "domain_out", value.domain);
}

void write_content(json_writer&, no_content const&) {}

/// Reads the members of a JSON object. After the first member that is missing
/// or has the wrong type, the reader is invalid and returns default values.
class object_reader {
public:
    explicit object_reader(json const& from) : object_(from) {
        is_valid_ = from.IsObject();
    }

    std::uint64_t number(char const* key, std::uint64_t min = 0,
        std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
        auto const* it = find(key);
        is_valid_ = is_valid_ && it != nullptr && it->IsUint64() &&
                    it->GetUint64() >= min && it->GetUint64() <= max;
        return is_valid_ ? it->GetUint64() : 0;
    }
    double floating_point(char const* key) {
        auto const* it = find(key);
        is_valid_ = is_valid_ && it != nullptr && it->IsNumber();
        return is_valid_ ? it->GetDouble() : 0;
    }
    bool boolean(char const* key) {
        auto const* it = find(key);
        is_valid_ = is_valid_ && it != nullptr && it->IsBool();
        return is_valid_ && it->GetBool();
    }
    std::string text(char const* key) {
        auto const* it = find(key);
        is_valid_ = is_valid_ && it != nullptr && it->IsString();
        return is_valid_ ? std::string(it->GetString(), it->GetStringLength())
                         : std::string();
    }
    endpoint address(char const* key) {
        auto const value = parse_endpoint(text(key));
        is_valid_ = is_valid_ && value.has_value();
        return value.value_or(endpoint{});
    }
    template <class Call> void each(char const* key, Call&& call) {
        auto const* it = find(key);
        is_valid_ = is_valid_ && it != nullptr && it->IsArray();
        if (!is_valid_)
            return;
        for (auto const& element : it->GetArray()) {
            object_reader reader(element);
            call(reader);
            is_valid_ = is_valid_ && reader.is_valid_;
        }
    }

    [[nodiscard]] bool has(char const* key) const {
        return object_.IsObject() && object_.HasMember(key);
    }
    [[nodiscard]] bool is_valid() const { return is_valid_; }

private:
    [[nodiscard]] json const* find(char const* key) const {
        if (!object_.IsObject())
            return nullptr;
        auto const it = object_.FindMember(key);
        return it == object_.MemberEnd() ? nullptr : &it->value;
    }

    json const& object_;
    bool is_valid_ = true;
};

duration read_ms(object_reader& from, char const* key) {
    return item_duration(static_cast<double>(from.number(key)));
}

route_set read_routes(object_reader& from) {
    route_set out{.version = from.number("version")};
    from.each("routes", [&](object_reader& it) {
        out.routes.push_back({.address = it.address("address"),
            .service = static_cast<std::uint32_t>(it.number("service")),
            .goal = read_ms(it, "goal_ms"),
            .priority = static_cast<std::uint8_t>(it.number("priority"))});
    });
    from.each("warmups", [&](object_reader& it) {
        out.warmups.push_back(
            {.service = static_cast<std::uint32_t>(it.number("service")),
                .period = read_ms(it, "period_ms"),
                .openings_per_second = item_openings_per_second(
                    it.floating_point("openings_per_second"))});
    });
    return out;
}

backend_announcement read_backend(object_reader& from) {
    return {.service = static_cast<std::uint32_t>(from.number("service")),
        .domain = static_cast<std::uint32_t>(from.number("domain")),
        .backend = from.address("backend"),
        .slots = static_cast<std::uint16_t>(from.number("slots", 1, max_slots)),
        .is_draining = from.boolean("is_draining"),
        .warmup_left = read_ms(from, "warmup_left_ms"),
        .start_unix_ms = from.number("born")};
}

// Processes of an earlier version send none.
std::uint64_t read_era(object_reader& from) {
    return from.has("era") ? from.number("era") : 0;
}

fleet_change read_item(object_reader& from) {
    fleet_change out{.name = from.text("name"),
        .revision = from.number("revision"),
        .era = read_era(from)};
    if (from.has("routes"))
        out.content = read_routes(from);
    else if (from.has("backend"))
        out.content = read_backend(from);
    else if (from.has("domain_out"))
        out.content = domain_taken_out{
            .domain = static_cast<std::uint32_t>(from.number("domain_out"))};
    return out;
}

} // namespace

std::string encode_items(item_page const& page) {
    rapidjson::StringBuffer buf;
    json_writer out(buf);
    out.StartObject();
    write_number(out, "as_of", page.as_of);
    write_number(out, "era", page.era);
    out.Key("items");
    out.StartArray();
    for (auto const& it : page.changes) {
        out.StartObject();
        out.Key("name");
        out.String(it.name.c_str());
        write_number(out, "revision", it.revision);
        write_number(out, "era", it.era);
        std::visit(
            [&](auto const& value) { write_content(out, value); }, it.content);
        out.EndObject();
    }
    out.EndArray();
    out.EndObject();
    return {buf.GetString(), buf.GetSize()};
}

std::optional<item_page> decode_items(std::string& text) {
    rapidjson::Document parsed;
    if (!parse_bounded_json(parsed, text))
        return std::nullopt;
    object_reader reader(parsed);
    item_page page{.as_of = reader.number("as_of"), .era = read_era(reader)};
    reader.each("items",
        [&](object_reader& it) { page.changes.push_back(read_item(it)); });
    if (!reader.is_valid())
        return std::nullopt;
    return page;
}

} // namespace radishspread::wire
