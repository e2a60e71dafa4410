#ifndef RADISHSPREAD_CORE_TESTS_RS_PACKET_AGENT_FIXTURE_HPP
#define RADISHSPREAD_CORE_TESTS_RS_PACKET_AGENT_FIXTURE_HPP

#include "rs_packet_sink.hpp"

#include <radishspread/core/rs_packet_agent.hpp>

#include <CppUTest/TestHarness.h>

namespace radishspread::test {

inline constexpr endpoint balancer_one{.address = 0x0a000101, .port = 7720};
inline constexpr endpoint balancer_two{.address = 0x0a000102, .port = 7720};

/// An agent core beside a backend server with two slots.
struct packet_agent_fixture : Utest {
    packet_recorder sink;
    packet_agent core{packet_agent_options{.service = test_service,
        .domain = test_domain,
        .backend = backend_address(1),
        .start_unix_ms = 10'000}};

    void setup() override {
        core.start(at(0), sink);
        core.view().apply(at(0), announcement_of(1, 1));
        core.view_changed(at(0), sink);
    }

    /// Delivers a message that contains `packet` to the core.
    void deliver(packet_agent& to, instant now, endpoint from,
        agent_packet const& message, flow_packet const& packet) {
        to.handle(now, from, message, &packet, sink);
    }

    agent_packet message(agent_packet_kind kind, packet_flow const& flow,
        std::uint64_t version = 5) {
        return {.kind = kind,
            .service = test_service,
            .route_version = version,
            .flow = flow,
            .packet = packet_bytes};
    }

    /// Sends a `locate` query that requires a reply; returns the reply.
    agent_packet query_flow(packet_agent& to, packet_flow const& flow, int ms,
        std::uint32_t acknowledged = 101) {
        auto query = message(agent_packet_kind::locate, flow);
        query.packet = {};
        query.must_reply = true;
        query.handshake = acknowledged;
        to.handle(at(ms), balancer_two, query, nullptr, sink);
        return sink.sent.back().message;
    }

    void open(packet_flow const& flow, int ms, std::uint64_t version = 5) {
        deliver(core, at(ms), balancer_one,
            message(agent_packet_kind::open, flow, version),
            opening_packet(flow));
    }

    /// Opens the flow and delivers the backend server's opening reply.
    void establish(
        packet_flow const& flow, int ms, std::uint32_t handshake = 100) {
        open(flow, ms);
        core.handle_backend(at(ms), opening_reply_of(flow, handshake), sink);
    }

    void forward(packet_flow const& flow, std::uint32_t acknowledged, int ms,
        agent_packet_kind kind = agent_packet_kind::forward) {
        deliver(core, at(ms), balancer_two, message(kind, flow),
            caller_packet_of(flow, acknowledged));
    }

    /// Sends an opening that the agent may queue, as a balancer does after all
    /// agents have declined it.
    void open_or_queue(
        packet_flow const& flow, int ms, std::uint16_t age_ms = 0) {
        auto opening = message(agent_packet_kind::open, flow);
        opening.may_queue = true;
        opening.age_ms = age_ms;
        deliver(core, at(ms), balancer_one, opening, opening_packet(flow));
    }

    /// Occupies both slots and the extra one that queued openings may use.
    void fill_slots(int ms) {
        for (std::uint16_t n = 101; n <= 103; ++n)
            open_or_queue(flow_of(n), ms);
    }

    /// Delivers a response of the backend server, which frees the flow's slot.
    void respond(std::uint16_t port, int ms) {
        core.handle_backend(at(ms), backend_packet_of(flow_of(port)), sink);
    }

    refusal last_refusal() { return sink.sent.back().message.why; }
};

} // namespace radishspread::test

#endif
