#include <radishspread/wire/rs_bounded_json.hpp>
#include <radishspread/wire/rs_item_codec.hpp>

#include <string>
#include <string_view>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::wire;

namespace {

std::string repeat(std::string_view text, std::size_t n) {
    std::string out;
    out.reserve(text.size() * n);
    for (std::size_t i = 0; i != n; ++i)
        out += text;
    return out;
}

/// `n` arrays, one in the other.
std::string nested_arrays(std::size_t n) {
    return repeat("[", n) + repeat("]", n);
}

} // namespace

TEST_GROUP(bounded_json) {
    rapidjson::Document parsed;

    bool parse(std::string text, json_limits const& limits = {}) {
        text_ = std::move(text);
        return parse_bounded_json(parsed, text_, limits);
    }

    std::string text_;
};

TEST(bounded_json, text_within_the_limits_is_parsed) {
    CHECK(parse(R"({"a":[1,-2,3.5,true,null],"b":{"c":"d"}})"));
    CHECK_EQUAL(2, parsed.MemberCount());
    CHECK_EQUAL(5, parsed.FindMember("a")->value.Size());
    CHECK(parse(nested_arrays(json_limits{}.depth)));
}

// The parser uses stack for each open array or object. Without a limit, one
// entry of another writer ended every process with a stack overflow.
TEST(bounded_json, deep_nesting_is_rejected_without_a_stack_overflow) {
    constexpr std::size_t depth = 500'000;
    for (std::string_view const opening : {"[", "{\"a\":", "[{\"a\":"})
        CHECK(!parse(repeat(opening, depth)));
    CHECK(!parse(nested_arrays(depth)));
    CHECK(!parse(nested_arrays(json_limits{}.depth + 1)));
}

// Each value takes eight times the two bytes that it has in the text, which
// would exceed the memory of a small host.
TEST(bounded_json, number_of_values_is_limited) {
    constexpr json_limits limits{.values = 5};
    CHECK(parse("[1,2,3,4]", limits));
    CHECK(!parse("[1,2,3,4,5]", limits));
    CHECK(parse(R"({"a":1,"b":2})", limits));
    CHECK(!parse(R"({"a":1,"b":2,"c":3})", limits));
}

TEST(bounded_json, number_too_large_is_rejected) {
    CHECK(!parse("[1e400]"));
    CHECK(!parse("[" + std::string(300'000, '9') + "]"));
    CHECK(parse("[18446744073709551616]"));
    CHECK(!parsed[0].IsUint64());
}

TEST(bounded_json, malformed_text_is_rejected) {
    for (auto const* text : {"", "[", "[1,]", "{]", "[1]x", "\x80\xff"})
        CHECK(!parse(text));
    CHECK(!parse(std::string("\0[1]", 4)));
}

// A peer is another process, whose reply may be damaged.
TEST(bounded_json, deeply_nested_reply_of_a_peer_is_rejected) {
    auto text = R"({"as_of":3,"items":)" + repeat("[", 500'000);
    CHECK(!decode_items(text));
}

// 65,536 slots became 0, which means an unknown number; a time that does not
// fit the clock would overflow it.
TEST(bounded_json, items_of_a_peer_are_limited_to_valid_ranges) {
    auto const page_with = [](std::string const& slots,
                               std::string const& warmup) {
        return R"({"as_of":3,"items":[{"name":"a","revision":2,)"
               R"("backend":"10.0.0.1:80","service":1,"domain":1,"slots":)" +
               slots + R"(,"is_draining":false,"warmup_left_ms":)" + warmup +
               R"(,"born":1}]})";
    };
    for (auto const* slots : {"0", "65536"}) {
        auto text = page_with(slots, "0");
        CHECK(!decode_items(text));
    }
    auto text = page_with("65535", "18446744073709551615");
    auto const page = decode_items(text);
    CHECK(page.has_value());
    auto const it = std::get<backend_announcement>(page->changes.at(0).content);
    CHECK_EQUAL(65535, it.slots);
    CHECK(it.warmup_left == std::chrono::hours(1));
}
