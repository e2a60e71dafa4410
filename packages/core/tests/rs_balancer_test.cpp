#include "rs_recording_sink.hpp"

#include <radishspread/core/rs_balancer.hpp>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace radishspread;
using namespace radishspread::test;
using namespace std::chrono_literals;

namespace {

constexpr endpoint self{0x7f000001, 7000};
constexpr endpoint caller{0x7f000001, 4000};
constexpr fleet_key secret{{1, 2, 3}};

balancer_options make_options() {
    return {.document = {.self = self, .is_balancer = true}, .key = secret};
}

route_cookie make_cookie(service_id service, domain_id domain, flow_id flow) {
    route_cookie cookie{.key_id = 1,
        .domain = domain,
        .service = service,
        .agent = {0x7f000001, 9001},
        .incarnation = 5,
        .opening = 6};
    cookie.tag = cookie_tag(
        secret, cookie, {.service = service, .caller = caller, .flow = flow});
    return cookie;
}

} // namespace

// A balancer with a proven view and service 1, which has six backend servers,
// two in each of three failure domains. Time starts at 100 s.
TEST_GROUP(balancer_core) {
    recording_sink sink;
    balancer core{make_options()};
    instant now{100s};

    void setup() override {
        core.start(now, sink);
        std::vector<digest_entry> const all{
            {"domains", 1}, {"service/s1", 1}, {"hosts/d1", 1}};
        core.handle(now, watch_event{.index = 1, .changes = all}, sink);
        receive_section(make_domains(1));
        receive_section(make_service(1, 1, 6));
        core.handle(now, read_failed_event{.name = "hosts/d1"}, sink);
        CHECK_TRUE(core.view().is_proven());
        sink.clear();
    }
    void receive_section(section_ptr const& value) {
        core.handle(now, section_event{.value = value}, sink);
    }
    void step(duration time) {
        for (auto const end = now + time; now < end;) {
            now += 50ms;
            core.tick(now, sink);
        }
    }
    void open(flow_id flow, std::uint8_t attempt = 0) {
        core.handle(now,
            caller_packet_event{.port_service = 1,
                .caller = caller,
                .packet = {.service = 1, .flow = flow, .attempt = attempt}},
            sink);
    }
    void request(route_cookie const& cookie, service_id service = 1) {
        core.handle(now,
            caller_packet_event{.port_service = 1,
                .caller = caller,
                .packet = {.kind = packet_kind::request,
                    .service = service,
                    .flow = 7,
                    .cookie = cookie,
                    .request = 3}},
            sink);
    }
    // Receives a reply from the agent of the backend server `id`.
    void reply(backend_id id, caller_reply const& value) {
        core.handle(now,
            deliver{.origin = {.sender = make_backend(id).agent},
                .caller = caller,
                .reply = value},
            sink);
    }
};

// P1: packets of an established flow are routed by the cookie alone.
TEST(balancer_core, request_with_cookie_goes_to_its_agent) {
    request(make_cookie(1, 1, 7));
    CHECK_EQUAL(1, sink.forwards.size());
    CHECK_TRUE(make_backend(1).agent == sink.forwards[0].to);
    CHECK_TRUE(self == sink.forwards[0].value.reply_to);
    CHECK_EQUAL(1, sink.forwards[0].value.origin.domains_revision);
}

// P2: a packet must not be routed by a cookie of another service, flow or
// fleet.
TEST(balancer_core, packet_with_invalid_cookie_is_dropped) {
    request(make_cookie(2, 1, 7));
    request(make_cookie(1, 1, 8));
    auto forged = make_cookie(1, 1, 7);
    forged.agent.port += 1;
    request(forged);
    request(make_cookie(2, 1, 7), 2);
    CHECK_EQUAL(0, sink.forwards.size());
    CHECK_EQUAL(0, sink.replies.size());
}

// P4: an agent in the failure domain, which may have a stale view, must get no
// more packets, and the caller must be notified that its request may have run.
TEST(balancer_core, request_to_domain_that_is_out_is_reset_as_unknown) {
    receive_section(make_domains(2, {1}));
    request(make_cookie(1, 1, 7));
    CHECK_EQUAL(0, sink.forwards.size());
    CHECK_EQUAL(1, sink.replies.size());
    auto const& value = sink.replies[0].value;
    CHECK_TRUE(reply_kind::reset == value.kind);
    CHECK_TRUE(outcome::unknown == value.outcome);
    CHECK_TRUE(reason::domain_out == value.reason);
    request(make_cookie(1, 2, 7));
    CHECK_EQUAL(1, sink.forwards.size());
}

// P4, P8: the candidates of an opening must not include backend servers that
// are out, draining or leaving.
TEST(balancer_core, opening_lists_only_backend_servers_that_may_take_it) {
    receive_section(make_domains(2, {1}));
    auto changed = *make_service(2, 1, 6);
    std::get<service_section>(changed.content).backend_servers[1].is_draining =
        true;
    receive_section(std::make_shared<section const>(changed));
    hosts_section const hosts{{{.name = "b3", .is_leaving = true}}};
    receive_section(std::make_shared<section const>(
        section{.name = "hosts/d1", .held = 1, .content = hosts}));
    open(7);
    CHECK_EQUAL(1, sink.forwards.size());
    auto const& list = sink.forwards[0].value.candidates;
    CHECK_EQUAL(2, list.size());
    CHECK_EQUAL(11, list[0].id + list[1].id); // b5 and b6
}

// P4: after a pause `domains` may be outdated. Openings are dropped until the
// view is proven, packets of established flows only until the proof times out.
TEST(balancer_core, paused_balancer_drops_packets_until_proof_or_timeout) {
    step(100ms);
    now += 1100ms;
    open(7);
    CHECK_EQUAL(1, sink.discards);
    open(7);
    request(make_cookie(1, 1, 7));
    CHECK_EQUAL(0, sink.forwards.size());
    for (int i = 0; i != 21; ++i)
        step(100ms);
    open(7);
    CHECK_EQUAL(0, sink.forwards.size());
    request(make_cookie(1, 1, 7));
    CHECK_EQUAL(1, sink.forwards.size());
}

// Replies that are discarded after a pause of the balancer must not make their
// agents suspect.
TEST(balancer_core, openings_pending_in_pause_do_not_count_against_agents) {
    open(7);
    now += 1100ms;
    core.tick(now, sink);
    CHECK_EQUAL(1, sink.forwards.size());
    std::vector<digest_entry> const all{{"domains", 1}};
    core.handle(now, watch_event{.index = 1, .changes = all}, sink);
    core.handle(now, read_failed_event{.name = "hosts/d1"}, sink);
    CHECK_TRUE(core.view().is_proven());
    open(7); // A second consecutive miss would make the agent suspect.
    step(500ms);
    CHECK_FALSE(sink.has_log(balancer_event::agent_suspect));
}

// An unreachable first candidate must cost one timeout and only one more
// packet.
TEST(balancer_core, opening_without_reply_is_hedged_once_to_next_candidate) {
    open(7);
    step(1s);
    CHECK_EQUAL(2, sink.forwards.size());
    auto const& first = sink.forwards[0].value.candidates;
    auto const& second = sink.forwards[1].value;
    CHECK_TRUE(sink.forwards[1].to == first[1].agent);
    CHECK_EQUAL(3, second.candidates.size());
    CHECK_TRUE(packet_kind::open == second.packet.kind);
    CHECK_EQUAL(7, second.packet.flow);
}

// Hedging an opening that has its reply would reserve slots twice.
TEST(balancer_core, opening_with_reply_is_not_hedged) {
    open(7);
    reply(2, {.kind = reply_kind::opened, .service = 1, .flow = 7});
    step(1s);
    CHECK_EQUAL(1, sink.forwards.size());
    CHECK_EQUAL(1, sink.replies.size());
    CHECK_TRUE(caller == sink.replies[0].to);
}

// Without suspicion, openings would still be sent first to an unreachable
// agent. An agent that sent a message between two misses is only slow.
TEST(balancer_core, agent_is_suspect_after_two_misses_until_next_message) {
    open(7);
    auto const first = sink.forwards[0].value.candidates[0];
    step(1s);
    reply(first.id, {.kind = reply_kind::answer, .service = 1});
    open(7);
    step(1s);
    CHECK_FALSE(sink.has_log(balancer_event::agent_suspect));
    open(7);
    step(1s);
    CHECK_TRUE(sink.has_log(balancer_event::agent_suspect));
    sink.clear();
    open(7);
    CHECK_FALSE(first.agent == sink.forwards[0].to);
    reply(first.id, {.kind = reply_kind::answer, .service = 1});
    open(7);
    CHECK_TRUE(first.agent == sink.forwards[1].to);
}

// P4: an agent with a stale view must not open a flow in a failure domain that
// is out.
TEST(balancer_core, opened_reply_from_domain_that_is_out_is_dropped) {
    receive_section(make_domains(2, {1}));
    caller_reply value{.service = 1, .flow = 7, .cookie = make_cookie(1, 1, 7)};
    reply(1, value);
    CHECK_EQUAL(0, sink.replies.size());
    value.cookie = make_cookie(1, 2, 7);
    reply(2, value);
    CHECK_EQUAL(1, sink.replies.size());
}

// An allocation per packet would cost more than the routing decision.
TEST(balancer_core, packets_allocate_nothing) {
    auto const count = [] {
        return MemoryLeakWarningPlugin::getGlobalDetector()
            ->getCurrentAllocationNumber();
    };
    auto const cookie = make_cookie(1, 1, 7);
    auto const before_reserve = count();
    sink.forwards.reserve(2);
    auto const before = count();
    CHECK_TRUE(before != before_reserve); // Allocations are counted.
    request(cookie);
    open(7);
    CHECK_EQUAL(before, count());
    CHECK_EQUAL(2, sink.forwards.size());
}

// P6: a refused opening must get a reply; without one the caller would wait for
// 10 s.
TEST(balancer_core, opening_without_any_candidate_is_refused) {
    receive_section(make_domains(2, {1, 2, 3}));
    open(7);
    CHECK_EQUAL(1, sink.replies.size());
    CHECK_TRUE(reply_kind::refused == sink.replies[0].value.kind);
    CHECK_TRUE(outcome::not_run == sink.replies[0].value.outcome);
    CHECK_TRUE(reason::no_backend_server == sink.replies[0].value.reason);
}

// P9: a balancer that stopped at once would lose replies in transit.
TEST(balancer_core, stopping_balancer_routes_until_idle) {
    core.handle(now, stop_event{.deadline = 30s}, sink);
    CHECK_FALSE(core.is_finished(now));
    step(900ms);
    request(make_cookie(1, 1, 7));
    CHECK_EQUAL(1, sink.forwards.size());
    step(900ms);
    CHECK_FALSE(core.is_finished(now));
    step(200ms);
    CHECK_TRUE(core.is_finished(now));
}

TEST_GROUP(agent_suspicion) {
    internal::suspicion_table table{10s, 5s};
    instant const now{100s};

    void setup() override {
        for (backend_id id = 1; id <= 6; ++id)
            table.add(make_backend(id).agent, 1);
        table.drop_unused();
    }
    // Number of flags set after `n` agents missed two openings each.
    long flags_after(unsigned n) {
        for (backend_id id = 1; id <= n; ++id) {
            table.reply_missed(make_backend(id).agent, now);
            table.reply_missed(make_backend(id).agent, now + 1s);
        }
        return std::count(table.flags().begin(), table.flags().end(), 1);
    }
};

// A balancer with a faulty network link of its own would otherwise avoid a
// whole failure domain.
TEST(agent_suspicion, suspicion_of_most_of_a_domain_is_ignored) {
    CHECK_EQUAL(3, flags_after(3));
    CHECK_EQUAL(0, flags_after(4));
}

TEST(agent_suspicion, suspicion_ends_after_its_time) {
    CHECK_EQUAL(2, flags_after(2));
    table.expire(now + 5900ms);
    CHECK_EQUAL(1, table.flags()[0]);
    table.expire(now + 6s);
    CHECK_EQUAL(0, table.flags()[0]);
}
