#include "rs_sample_messages.hpp"

#include <radishspread/wire/internal/rs_schema_types.hpp>
#include <radishspread/wire/rs_wire_error.hpp>

#include <cstring>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::wire;

namespace {

using datagram = std::vector<std::byte>;

datagram copy_of(std::span<std::byte const> data) {
    return {data.begin(), data.end()};
}

/// Replaces the tag with a valid one, as a faulty process that has the fleet
/// key would.
void sign(datagram& data) {
    auto const body = std::span(data).subspan(internal::tag_size);
    auto const tag = keyed_tag(sample_key, body);
    std::memcpy(data.data(), &tag, sizeof tag);
}

/// Decodes with every decoder and reads the decoded views, so that a view out
/// of bounds is detected.
void decode_everywhere(std::span<std::byte const> data) {
    caller_packet packet;
    caller_reply reply;
    peer_message message;
    if (!decode(data, packet))
        CHECK_TRUE(packet.payload.size() <= max_payload);
    if (!decode(data, reply))
        CHECK_TRUE(reply.payload.size() <= max_payload);
    if (decode(sample_key, data, message))
        return;
    if (auto const* it = std::get_if<peer_digest>(&message))
        for (auto const& each : it->entries)
            CHECK_TRUE(std::string(each.name).size() <= max_section_name);
}

} // namespace

TEST_GROUP(hostile_input) {
    encoder codec{sample_key};
    std::vector<datagram> samples{copy_of(codec.encode(sample_packet)),
        copy_of(codec.encode(sample_reply)),
        copy_of(codec.encode(sample_forward)),
        copy_of(codec.encode(sample_deliver)),
        copy_of(codec.encode(sample_digest)),
        copy_of(codec.encode(sample_handover)),
        copy_of(codec.encode(sample_handover_reply))};
    std::mt19937_64 random{20260101};
};

// Reading past the end of a short datagram would disclose memory or crash.
TEST(hostile_input, truncated_datagrams_are_rejected) {
    for (auto const& sample : samples) {
        for (std::size_t n = 0; n < sample.size(); ++n) {
            auto data = copy_of(std::span(sample).first(n));
            peer_message message;
            CHECK_TRUE(decode(sample_key, data, message));
            if (n >= internal::tag_size)
                sign(data);
            decode_everywhere(data);
        }
    }
}

// No encoder produces a datagram above the size limit.
TEST(hostile_input, oversized_datagram_is_rejected) {
    auto data = samples[0];
    data.resize(max_datagram + 1);
    caller_packet packet;
    CHECK_TRUE(decode(data, packet) == wire_error::too_large);
    peer_message message;
    sign(data);
    CHECK_TRUE(decode(sample_key, data, message) == wire_error::too_large);
}

// A forged or corrupted peer message must not change any state.
TEST(hostile_input, any_flipped_bit_of_a_tagged_datagram_is_rejected) {
    auto data = samples[2];
    for (std::size_t n = 0; n < data.size() * 8; ++n) {
        auto const bit = std::byte{1} << (n % 8);
        data[n / 8] ^= bit;
        peer_message message;
        CHECK_TRUE(decode(sample_key, data, message) == wire_error::wrong_tag);
        data[n / 8] ^= bit;
    }
}

// Datagrams of callers have no tag, so corrupted ones reach the verifier, which
// must prevent reads out of bounds.
TEST(
    hostile_input, flipped_bits_after_a_valid_tag_never_cause_an_invalid_read) {
    for (auto const& sample : samples) {
        for (int n = 0; n < 2000; ++n) {
            auto data = sample;
            for (int flips = 0; flips <= n % 4; ++flips)
                data[random() % data.size()] ^= std::byte{1} << (random() % 8);
            sign(data);
            decode_everywhere(data);
        }
    }
}

// Random data of any length must be rejected without a crash.
TEST(hostile_input, random_datagrams_never_cause_an_invalid_read) {
    for (int n = 0; n < 5000; ++n) {
        datagram data(random() % (max_datagram + 8));
        for (auto& each : data)
            each = static_cast<std::byte>(random());
        if (data.size() >= internal::tag_size)
            sign(data);
        decode_everywhere(data);
    }
}
