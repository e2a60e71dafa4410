#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_sinks.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;

TEST_GROUP(endpoint_text){};

TEST(endpoint_text, well_formed_address_is_parsed_and_printed_alike) {
    auto const parsed = parse_endpoint("127.0.1.7:9101");
    CHECK_TRUE(parsed.has_value());
    CHECK_EQUAL(std::string("127.0.1.7:9101"), to_string(*parsed));
}

// If a missing or overflowing port were accepted, packets would be sent to an
// arbitrary process.
TEST(endpoint_text, malformed_text_is_rejected) {
    for (auto const* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
             "127.0.0.1:65536", "127.0.0.1:80x", "host:80", "1.2.3:80"})
        CHECK_FALSE_TEXT(parse_endpoint(text).has_value(), text);
}
