#include <radishspread/wire/rs_agent_packet_codec.hpp>
#include <radishspread/wire/rs_item_codec.hpp>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;

namespace {

constexpr packet_flow flow{.caller = {.address = 0x64400007, .port = 40001},
    .service = {.address = 0xc6120001, .port = 443}};

std::vector<std::byte> encode(agent_packet const& message) {
    auto const header = wire::encode_agent_packet_header(message);
    std::vector<std::byte> out(header.size() + message.packet.size());
    auto const end = std::copy(header.begin(), header.end(), out.begin());
    std::copy(message.packet.begin(), message.packet.end(), end);
    return out;
}

} // namespace

TEST_GROUP(agent_packet_codec) {
    std::vector<std::byte> payload{std::byte{7}, std::byte{8}};
    agent_packet message{.kind = agent_packet_kind::declined,
        .why = refusal::overloaded,
        .may_queue = true,
        .is_service_full = true,
        .is_cold = true,
        .is_locate_reply = true,
        .must_reply = true,
        .is_uncertain = true,
        .is_of_reassigned = true,
        .service = 0xa1b2c3d4,
        .route_version = 0x1122334455667788,
        .cold_rate = 400,
        .in_progress = 3,
        .urgent = 2,
        .slots = 7,
        .flows = 51,
        .age_ms = 640,
        .handshake = 0xfffffff0,
        .flow = flow,
        .packet = payload};
};

TEST(agent_packet_codec, message_survives_a_round_trip) {
    auto const bytes = encode(message);
    auto const out = wire::decode_agent_packet(bytes);
    CHECK(out.has_value());
    CHECK(out->kind == message.kind && out->why == message.why);
    CHECK(out->may_queue && out->is_cold && out->is_locate_reply);
    CHECK(out->is_service_full);
    CHECK(out->must_reply && out->is_uncertain && out->is_of_reassigned);
    CHECK_EQUAL(message.service, out->service);
    CHECK_EQUAL(message.route_version, out->route_version);
    CHECK_EQUAL(message.cold_rate, out->cold_rate);
    CHECK_EQUAL(message.in_progress, out->in_progress);
    CHECK_EQUAL(message.urgent, out->urgent);
    CHECK_EQUAL(message.slots, out->slots);
    CHECK_EQUAL(message.flows, out->flows);
    CHECK_EQUAL(message.age_ms, out->age_ms);
    CHECK_EQUAL(message.handshake, out->handshake);
    CHECK(out->flow == flow);
    CHECK(std::vector<std::byte>(out->packet.begin(), out->packet.end()) ==
          payload);
}

// Agents of an earlier version send 0 in place of the count.
TEST(agent_packet_codec, message_without_a_count_of_urgent_requests) {
    message.urgent = unknown_urgent;
    auto const bytes = encode(message);
    CHECK(bytes[wire::agent_packet_header_size - 1] == std::byte{0});
    CHECK_EQUAL(unknown_urgent, wire::decode_agent_packet(bytes)->urgent);
}

TEST(agent_packet_codec, malformed_datagrams_are_rejected) {
    auto bytes = encode(message);
    CHECK(!wire::decode_agent_packet(
        std::span(bytes).first(wire::agent_packet_header_size - 1)));
    for (std::size_t const offset : {0, 1, 2}) {
        auto bad = bytes;
        bad[offset] = std::byte{0xee};
        CHECK(!wire::decode_agent_packet(bad));
    }
}

TEST_GROUP(item_codec) {
    item_page page{
        .changes = {{.name = "routes",
                        .revision = 4,
                        .content = route_set{.version = 9,
                            .routes = {{.address = flow.service,
                                .service = 5,
                                .goal = std::chrono::milliseconds(250),
                                .priority = 2}},
                            .warmups = {{.service = 5,
                                .period = std::chrono::seconds(2),
                                .openings_per_second = 2.5}}}},
            {.name = "backend \"1\"",
                .revision = 6,
                .content = backend_announcement{.service = 5,
                    .domain = 8,
                    .backend = flow.caller,
                    .slots = 7,
                    .is_draining = true,
                    .warmup_left = std::chrono::milliseconds(40),
                    .start_unix_ms = 1791906119026}},
            {.name = "out",
                .revision = 7,
                .content = domain_taken_out{.domain = 8}}},
        .as_of = 12};
};

TEST(item_codec, items_survive_a_round_trip) {
    auto text = wire::encode_items(page);
    auto const out = wire::decode_items(text);
    CHECK(out.has_value());
    CHECK_EQUAL(12, out->as_of);
    CHECK_EQUAL(3, out->changes.size());
    auto const routes = std::get<route_set>(out->changes[0].content);
    CHECK_EQUAL(9, routes.version);
    CHECK(routes.routes.at(0).address == flow.service);
    CHECK(routes.routes.at(0).goal == std::chrono::milliseconds(250));
    CHECK_EQUAL(2, routes.routes.at(0).priority);
    DOUBLES_EQUAL(2.5, routes.warmups.at(0).openings_per_second, 0);
    auto const backend =
        std::get<backend_announcement>(out->changes[1].content);
    CHECK_EQUAL(page.changes[1].name, out->changes[1].name);
    CHECK(backend.backend == flow.caller);
    CHECK(backend.is_draining);
    CHECK(backend.warmup_left == std::chrono::milliseconds(40));
    CHECK_EQUAL(1791906119026, backend.start_unix_ms);
    CHECK_EQUAL(8, std::get<domain_taken_out>(out->changes[2].content).domain);
}

TEST(item_codec, malformed_texts_are_rejected) {
    for (std::string text : {"", "{", "[]", R"({"as_of":1})",
             R"({"as_of":1,"items":[{"name":"a"}]})",
             R"({"as_of":1,"items":[{"name":"a","revision":"1"}]})",
             R"({"as_of":1,"items":[{"name":"a","revision":1,"routes":3}]})"})
        CHECK(!wire::decode_items(text));
}
