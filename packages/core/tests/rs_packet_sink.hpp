#ifndef RADISHSPREAD_CORE_TESTS_RS_PACKET_SINK_HPP
#define RADISHSPREAD_CORE_TESTS_RS_PACKET_SINK_HPP

#include <radishspread/core/rs_agent_packet.hpp>
#include <radishspread/core/rs_fleet_change.hpp>
#include <radishspread/core/rs_flow_packet.hpp>
#include <radishspread/core/rs_packet_log.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishspread::test {

/// Sink that records the actions of a core for packet flows.
struct packet_recorder {
    struct sent_message {
        endpoint to;
        agent_packet message;
        std::vector<std::byte> packet;
    };

    std::vector<sent_message> sent;
    std::vector<packet_flow> to_caller;
    std::size_t to_backend = 0;
    std::vector<std::pair<packet_flow, std::uint32_t>> resets;
    std::size_t refreshes = 0;
    endpoint newer_peer;   ///< Argument of the last `catch_up`.
    std::size_t looks = 0; ///< Calls of `catch_up`.
    std::vector<std::uint16_t> events;
    /// Reason in the last event of each number.
    std::map<std::uint16_t, refusal> reasons;

    void send(endpoint to, agent_packet const& message) {
        sent.push_back({.to = to,
            .message = message,
            .packet = {message.packet.begin(), message.packet.end()}});
    }
    void send_caller(packet_flow const& flow, std::span<std::byte const>) {
        to_caller.push_back(flow);
    }
    void send_backend(std::span<std::byte const>) { ++to_backend; }
    void reset_caller(packet_flow const& flow, std::uint32_t sequence) {
        resets.emplace_back(flow, sequence);
    }
    void refresh_view() { ++refreshes; }
    void refresh_members() { ++refreshes; }
    void catch_up(endpoint peer) {
        newer_peer = peer;
        ++looks;
    }
    void log(packet_log const& event) {
        events.push_back(event.number);
        reasons[event.number] = event.why;
    }

    [[nodiscard]] std::size_t count(agent_packet_kind kind) const {
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(),
            [&](auto const& it) { return it.message.kind == kind; }));
    }
    /// Reason in the last event of this number; `none` without such an event.
    [[nodiscard]] refusal last_reason_of(std::uint16_t number) const {
        auto const it = reasons.find(number);
        return it == reasons.end() ? refusal::none : it->second;
    }
    void clear() { *this = {}; }
};

/// Time `ms` milliseconds after the start of a test.
inline instant at(int ms) {
    return instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

inline constexpr std::uint16_t agent_port = 7000;
inline constexpr endpoint service_address{.address = 0xc6120001, .port = 443};
inline constexpr std::uint32_t test_service = 11;
/// Version of the routes that no store ever had.
inline constexpr std::uint64_t forged_version = 1ULL << 40U;
inline constexpr std::uint32_t test_domain = 21;

/// Address at which backend server `n` receives packets.
constexpr endpoint backend_address(std::uint32_t n) {
    return {.address = 0x0a000000 + n, .port = 8000};
}

/// Address of the agent of backend server `n`.
constexpr endpoint agent_address(std::uint32_t n) {
    return {.address = 0x0a000000 + n, .port = agent_port};
}

constexpr packet_flow flow_of(std::uint16_t caller_port) {
    return {.caller = {.address = 0x64400001, .port = caller_port},
        .service = service_address};
}

inline std::array<std::byte, 32> const packet_bytes{};

inline flow_packet opening_packet(packet_flow const& flow) {
    return {.source = flow.caller,
        .destination = flow.service,
        .is_opening = true,
        .bytes = packet_bytes};
}

/// Packet of the caller that acknowledges all bytes before `acknowledged`.
inline flow_packet caller_packet_of(
    packet_flow const& flow, std::uint32_t acknowledged) {
    return {.source = flow.caller,
        .destination = flow.service,
        .is_acknowledging = true,
        .acknowledged = acknowledged,
        .bytes = packet_bytes};
}

inline flow_packet backend_packet_of(packet_flow const& flow) {
    return {.source = flow.service,
        .destination = flow.caller,
        .is_acknowledging = true,
        .payload_size = 10,
        .bytes = packet_bytes};
}

inline flow_packet opening_reply_of(
    packet_flow const& flow, std::uint32_t sequence) {
    return {.source = flow.service,
        .destination = flow.caller,
        .is_opening_reply = true,
        .is_acknowledging = true,
        .sequence = sequence,
        .bytes = packet_bytes};
}

inline flow_packet returned(flow_packet it) {
    it.is_returned = true;
    return it;
}

inline fleet_change announcement_of(std::uint32_t n, revision at) {
    return {.name = "backend/" + std::to_string(n),
        .revision = at,
        .content = backend_announcement{.service = test_service,
            .domain = test_domain,
            .backend = backend_address(n),
            .slots = 2,
            .start_unix_ms = 1}};
}

inline fleet_change routes_of(std::uint64_t version, revision at) {
    return {.name = "routes",
        .revision = at,
        .content = route_set{.version = version,
            .routes = {{.address = service_address, .service = test_service}},
            .warmups = {}}};
}

} // namespace radishspread::test

#endif
