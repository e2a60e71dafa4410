#include "rs_recording_sink.hpp"

#include <radishspread/core/rs_balancer.hpp>

#include <CppUTest/TestHarness.h>

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
    route_cookie it{.key_id = 1,
        .domain = domain,
        .service = service,
        .agent = {0x7f000001, 9001},
        .incarnation = 5,
        .opening = 6};
    it.tag = cookie_tag(
        secret, it, {.service = service, .caller = caller, .flow = flow});
    return it;
}

} // namespace

// A balancer with the service 1 of six backend servers, two in each of three
// failure domains, and a proven view. Time starts at 100 s.
TEST_GROUP(balancer_core) {
    recording_sink sink;
    balancer it{make_options()};
    instant now{100s};

    void setup() override {
        it.start(now, sink);
        std::vector<digest_entry> const all{
            {"domains", 1}, {"service/s1", 1}, {"hosts/d1", 1}};
        it.handle(now, watch_event{.index = 1, .changes = all}, sink);
        arrived(make_domains(1));
        arrived(make_service(1, 1, 6));
        it.handle(now, read_failed_event{.name = "hosts/d1"}, sink);
        CHECK_TRUE(it.view().is_proven());
        sink.clear();
    }
    void arrived(section_ptr const& value) {
        it.handle(now, section_event{.value = value}, sink);
    }
    void step(duration time) {
        for (auto const end = now + time; now < end;) {
            now += 50ms;
            it.tick(now, sink);
        }
    }
    void open(flow_id flow, std::uint8_t attempt = 0) {
        it.handle(now,
            caller_packet_event{.port_service = 1,
                .caller = caller,
                .packet = {.service = 1, .flow = flow, .attempt = attempt}},
            sink);
    }
    void request(route_cookie const& cookie, service_id service = 1) {
        it.handle(now,
            caller_packet_event{.port_service = 1,
                .caller = caller,
                .packet = {.kind = packet_kind::request,
                    .service = service,
                    .flow = 7,
                    .cookie = cookie,
                    .request = 3}},
            sink);
    }
    // The agent of the backend server `id` replies.
    void reply(backend_id id, caller_reply const& value) {
        it.handle(now,
            deliver{.origin = {.sender = make_backend(id).agent},
                .caller = caller,
                .reply = value},
            sink);
    }
};

// P1: the cookie alone routes an established packet.
TEST(balancer_core, request_with_cookie_goes_to_its_agent) {
    request(make_cookie(1, 1, 7));
    CHECK_EQUAL(1, sink.forwards.size());
    CHECK_TRUE(make_backend(1).agent == sink.forwards[0].to);
    CHECK_TRUE(self == sink.forwards[0].value.reply_to);
    CHECK_EQUAL(1, sink.forwards[0].value.origin.domains_revision);
}

// P2: a cookie of another service, flow or fleet must not route a packet.
TEST(balancer_core, foreign_cookie_is_dropped) {
    request(make_cookie(2, 1, 7));
    request(make_cookie(1, 1, 8));
    auto forged = make_cookie(1, 1, 7);
    forged.agent.port += 1;
    request(forged);
    request(make_cookie(2, 1, 7), 2);
    CHECK_EQUAL(0, sink.forwards.size());
    CHECK_EQUAL(0, sink.replies.size());
}

// P4: a stale agent in the failure domain must get nothing more, and the
// caller must learn that its request may have run.
TEST(balancer_core, request_to_domain_that_is_out_is_reset_as_unknown) {
    arrived(make_domains(2, {1}));
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

// P4, P8: an opening must not list backend servers that are out or leaving.
TEST(balancer_core, opening_lists_only_backend_servers_that_may_take_it) {
    arrived(make_domains(2, {1}));
    auto changed = *make_service(2, 1, 6);
    std::get<service_section>(changed.content).backend_servers[1].is_draining =
        true;
    arrived(std::make_shared<section const>(changed));
    hosts_section const hosts{{{.name = "b3", .is_leaving = true}}};
    arrived(std::make_shared<section const>(
        section{.name = "hosts/d1", .held = 1, .content = hosts}));
    open(7);
    CHECK_EQUAL(1, sink.forwards.size());
    auto const& list = sink.forwards[0].value.candidates;
    CHECK_EQUAL(2, list.size());
    CHECK_EQUAL(11, list[0].id + list[1].id); // b5 and b6
}
