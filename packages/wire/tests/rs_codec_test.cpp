#include "rs_sample_messages.hpp"

#include <radishspread/wire/rs_wire_error.hpp>

#include <algorithm>
#include <tuple>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace radishspread;
using namespace radishspread::wire;

namespace {

bool equal(std::span<std::byte const> one, std::span<std::byte const> other) {
    return std::ranges::equal(one, other);
}

bool equal(caller_packet const& a, caller_packet const& b) {
    auto fields = [](caller_packet const& it) {
        return std::tie(it.kind, it.service, it.flow, it.attempt, it.cookie,
            it.request, it.idempotent, it.deadline, it.received, it.trace);
    };
    return fields(a) == fields(b) && equal(a.payload, b.payload);
}

bool equal(caller_reply const& a, caller_reply const& b) {
    auto fields = [](caller_reply const& it) {
        return std::tie(it.kind, it.service, it.flow, it.cookie, it.request,
            it.outcome, it.reason, it.status, it.offset, it.total, it.trace);
    };
    return fields(a) == fields(b) && equal(a.payload, b.payload);
}

bool equal(forward const& a, forward const& b) {
    auto fields = [](forward const& it) {
        return std::tie(it.origin, it.caller, it.reply_to, it.passes,
            it.must_accept, it.least_load, it.least_index, it.candidates);
    };
    return fields(a) == fields(b) && equal(a.packet, b.packet);
}

bool equal(deliver const& a, deliver const& b) {
    return a.origin == b.origin && a.caller == b.caller &&
           equal(a.reply, b.reply);
}

bool equal(peer_digest const& a, peer_digest const& b) {
    auto fields = [](peer_digest const& it) {
        return std::tie(it.origin, it.nonce, it.is_reply, it.is_proven,
            it.is_balancer, it.view_hash);
    };
    return fields(a) == fields(b) &&
           std::ranges::equal(
               a.entries, b.entries, [](auto const& one, auto const& other) {
                   return one.name == other.name && one.held == other.held;
               });
}

bool equal(handover const& a, handover const& b) {
    auto fields = [](handover const& it) {
        return std::tie(
            it.origin, it.flow, it.opening, it.window, it.reply_to, it.target);
    };
    return fields(a) == fields(b);
}

bool equal(handover_reply const& a, handover_reply const& b) {
    auto fields = [](handover_reply const& it) {
        return std::tie(
            it.origin, it.flow, it.opening, it.cookie, it.reason, it.target);
    };
    return fields(a) == fields(b);
}

template <class Message> void check_plain(Message const& original) {
    encoder codec(sample_key);
    auto const data = codec.encode(original);
    CHECK_TRUE(!data.empty() && data.size() <= max_datagram);
    Message decoded;
    CHECK_FALSE(decode(data, decoded));
    CHECK_TRUE(equal(original, decoded));
}

template <class Message> void check_tagged(Message const& original) {
    encoder codec(sample_key);
    auto const data = codec.encode(original);
    CHECK_TRUE(!data.empty() && data.size() <= max_datagram);
    peer_message decoded;
    CHECK_FALSE(decode(sample_key, data, decoded));
    CHECK_TRUE(equal(original, std::get<Message>(decoded)));
}

template <class Message, class Change>
bool is_encoded(Message it, Change change) {
    change(it);
    encoder codec(sample_key);
    return !codec.encode(it).empty();
}

} // namespace

TEST_GROUP(codec){};

// A field that the codec drops would break routing or deduplication without an
// error. A maximum-size message above the datagram limit would never arrive.
TEST(codec, largest_message_of_each_kind_is_decoded_unchanged) {
    check_plain(sample_packet);
    check_plain(sample_reply);
    check_tagged(sample_forward);
    check_tagged(sample_deliver);
    check_tagged(sample_digest);
    check_tagged(sample_handover);
    check_tagged(sample_handover_reply);
}

// Default values are omitted from the encoding and must be decoded as defaults.
TEST(codec, smallest_message_of_each_kind_is_decoded_unchanged) {
    check_plain(caller_packet{.service = 1});
    check_plain(caller_reply{.kind = reply_kind::reset, .service = 1});
    check_tagged(forward{.origin = sample_stamp,
        .caller = {1, 1},
        .reply_to = {1, 1},
        .packet = {.service = 1}});
    check_tagged(peer_digest{.origin = sample_stamp});
    check_tagged(handover{.origin = sample_stamp, .flow = sample_flow});
    check_tagged(handover_reply{.origin = sample_stamp, .flow = sample_flow});
}

// FlatBuffers reads numbers in place; reading them at an unaligned address is
// undefined behavior.
TEST(codec, unaligned_datagram_is_decoded_with_views_into_it) {
    encoder codec(sample_key);
    auto const data = codec.encode(sample_forward);
    std::vector<std::byte> buf(data.size() + 1);
    std::ranges::copy(data, buf.begin() + 1);
    peer_message decoded;
    CHECK_FALSE(decode(sample_key, std::span(buf).subspan(1), decoded));
    auto const& it = std::get<forward>(decoded);
    CHECK_TRUE(equal(sample_forward, it));
    CHECK_TRUE(it.packet.payload.data() > buf.data() &&
               it.packet.payload.data() < buf.data() + buf.size());
}

// Every receiver would discard a message with a value out of range, so the
// encoder must reject it where the fault can be reported.
TEST(codec, message_with_a_value_out_of_range_is_not_encoded) {
    std::vector<std::byte> const large(max_payload + 1);
    std::string const long_name(max_section_name + 1, 'n');
    auto encodes_packet = [](auto change) {
        return is_encoded(sample_packet, change);
    };
    auto encodes_reply = [](auto change) {
        return is_encoded(sample_reply, change);
    };
    auto encodes_forward = [](auto change) {
        return is_encoded(sample_forward, change);
    };
    CHECK_TRUE(encodes_packet([](auto&) {}));
    CHECK_FALSE(encodes_packet([&](auto& it) { it.payload = large; }));
    CHECK_FALSE(encodes_packet([](auto& it) { it.kind = packet_kind{5}; }));
    CHECK_FALSE(encodes_packet([](auto& it) { it.service = 0; }));
    CHECK_FALSE(encodes_packet([](auto& it) { it.request = 0; }));
    CHECK_FALSE(encodes_packet([](auto& it) { it.deadline = -it.deadline; }));
    CHECK_FALSE(encodes_packet([](auto& it) { it.cookie->domain = 65; }));
    CHECK_FALSE(encodes_reply([](auto& it) { it.outcome = outcome{3}; }));
    CHECK_FALSE(encodes_reply([](auto& it) { it.reason = reason{16}; }));
    CHECK_FALSE(encodes_reply([](auto& it) { it.status = 99; }));
    CHECK_FALSE(encodes_reply([](auto& it) { it.offset = it.total - 1; }));
    CHECK_FALSE(
        encodes_reply([](auto& it) { it.total = max_answer_size + 1; }));
    CHECK_FALSE(encodes_forward([](auto& it) { it.least_index = 4; }));
    CHECK_FALSE(encodes_forward([](auto& it) { it.passes = max_passes + 1; }));
    CHECK_FALSE(encodes_forward([](auto& it) { it.origin = {}; }));
    CHECK_FALSE(is_encoded(
        sample_digest, [&](auto& it) { it.entries[0].name = long_name; }));
    CHECK_FALSE(is_encoded(sample_handover, [](auto& it) {
        it.window = {0, 1};
    }));
}

// With an allocation for each packet, latency would depend on the allocator.
TEST(codec, encoding_and_decoding_in_steady_state_allocate_nothing) {
    auto allocations = [] {
        return MemoryLeakWarningPlugin::getGlobalDetector()
            ->getCurrentAllocationNumber();
    };
    encoder codec(sample_key);
    peer_message decoded;
    auto run = [&] {
        caller_packet packet;
        bool const is_wrong =
            decode(codec.encode(sample_packet), packet) ||
            decode(sample_key, codec.encode(sample_forward), decoded) ||
            decode(sample_key, codec.encode(sample_digest), decoded);
        CHECK_FALSE(is_wrong);
    };
    auto const start = allocations();
    run();
    auto const warm = allocations();
    CHECK_TRUE(warm > start);
    for (int n = 0; n < 10; ++n)
        run();
    CHECK_EQUAL(warm, allocations());
}
