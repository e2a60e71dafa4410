#ifndef RADISHSPREAD_CORE_TESTS_RS_PACKET_BALANCER_FIXTURE_HPP
#define RADISHSPREAD_CORE_TESTS_RS_PACKET_BALANCER_FIXTURE_HPP

#include "rs_packet_sink.hpp"

#include <radishspread/core/rs_packet_balancer.hpp>

#include <CppUTest/TestHarness.h>

namespace radishspread::test {

/// A balancer core with three known agents, and functions that deliver their
/// replies.
struct packet_balancer_fixture : Utest {
    packet_recorder sink;
    packet_balancer core{packet_balancer_options{
        .domain = test_domain, .agent_port = agent_port}};

    void setup() override {
        core.start(at(0), sink);
        core.view().apply(at(0), routes_of(5, 1));
        for (std::uint32_t n = 1; n <= 3; ++n)
            core.view().apply(at(0), announcement_of(n, 1 + n));
        core.view_confirmed(at(0), at(0), sink);
    }

    /// Opens a flow; returns the agent that was sent the opening.
    endpoint open(packet_flow const& flow, int ms) {
        core.handle_caller(at(ms), opening_packet(flow), sink);
        return sink.sent.back().to;
    }

    void deliver_reply(endpoint from, agent_packet const& message, int ms) {
        auto const packet = opening_packet(message.flow);
        core.handle(at(ms), from, message,
            message.packet.empty() ? nullptr : &packet, sink);
    }

    void reply_held(endpoint agent, packet_flow const& flow, int ms,
        std::uint32_t handshake = 100) {
        deliver_reply(agent,
            {.kind = agent_packet_kind::held,
                .service = test_service,
                .route_version = 5,
                .slots = 2,
                .handshake = handshake,
                .flow = flow},
            ms);
    }

    void reply_declined(endpoint agent, packet_flow const& flow, refusal why,
        int ms, std::uint64_t version = 5) {
        deliver_reply(agent,
            {.kind = agent_packet_kind::declined,
                .why = why,
                .service = test_service,
                .route_version = version,
                .in_progress = 2,
                .slots = 2,
                .flow = flow,
                .packet = packet_bytes},
            ms);
    }

    void reply_queued(endpoint agent, packet_flow const& flow, int ms,
        std::uint16_t in_progress = 3) {
        deliver_reply(agent,
            {.kind = agent_packet_kind::queued,
                .service = test_service,
                .route_version = 5,
                .in_progress = in_progress,
                .slots = 2,
                .flow = flow},
            ms);
    }

    /// Lets all agents decline the opening; returns the one that is then sent
    /// the opening to queue it.
    endpoint reply_declined_by_all(packet_flow const& flow, int ms) {
        for (int n = 0; n != 3; ++n)
            reply_declined(sink.sent.back().to, flow, refusal::overloaded, ms);
        return sink.sent.back().to;
    }

    void reply_not_held(std::uint32_t agent, packet_flow const& flow, int ms,
        bool is_uncertain = false) {
        deliver_reply(agent_address(agent),
            {.kind = agent_packet_kind::not_held,
                .why = refusal::not_held,
                .is_locate_reply = true,
                .is_uncertain = is_uncertain,
                .service = test_service,
                .route_version = 5,
                .flow = flow},
            ms);
    }

    /// Delivers `not_held` replies from the agents 1 to `count`.
    void reply_not_held_by_all(
        packet_flow const& flow, int ms, std::uint32_t count = 3) {
        for (std::uint32_t n = 1; n <= count; ++n)
            reply_not_held(n, flow, ms);
    }

    /// Lets time pass, with a read of the configuration every 20 ms.
    void pass_time_with_reads(int from, int to) {
        for (int ms = from; ms < to; ms += 20) {
            core.tick(at(ms), sink);
            core.view_confirmed(at(ms + 1), at(ms), sink);
        }
    }
};

} // namespace radishspread::test

#endif
