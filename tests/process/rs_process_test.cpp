#include <radishspread/runtime/rs_fd_watch.hpp>
#include <radishspread/wire/rs_codec.hpp>

#include <standins/rs_loop.hpp>
#include <standins/rs_test_fleet.hpp>

#include <sys/socket.h>

#include <array>
#include <csignal>
#include <span>
#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t long_flows = 60;
/// Bounds the duration of a failing test; no result depends on the value.
constexpr duration test_timeout = 60s;

deployment_plan small_plan() {
    return {"small", "nl-west", {{"orders", 3, 7, 10, 4096, 0.5}}, 2};
}

/// Binds the address of an agent that has ended and counts the openings that
/// balancers still send to it.
class agent_probe {
public:
    agent_probe(endpoint agent, fleet_key key)
        : key_(key), fd_(bind_udp(agent.address, agent.port)),
          watch_(fd_.get(), G_IO_IN, [this](GIOCondition) { receive(); }) {}

    [[nodiscard]] std::size_t openings() const { return openings_; }

private:
    void receive() {
        std::array<std::byte, 2048> buf; // NOLINT: filled by recv
        auto const size = recv(fd_.get(), buf.data(), buf.size(), 0);
        if (size < 0)
            return;
        wire::peer_message message;
        auto const data = std::span(buf).first(static_cast<std::size_t>(size));
        if (wire::decode(key_, data, message))
            return;
        auto const* const packet = std::get_if<forward>(&message);
        if (packet != nullptr && packet->packet.kind == packet_kind::open)
            ++openings_;
    }

    fleet_key key_;
    unique_fd fd_;
    runtime::fd_watch watch_;
    std::size_t openings_ = 0;
};

} // namespace

TEST_GROUP(process) {
    test_fleet fleet{small_plan()};

    void start() {
        fleet.start(long_flows, 500ms, 20);
        CHECK_TRUE_TEXT(
            run_until(
                [&] { return fleet.callers().open_flows() == long_flows; },
                test_timeout),
            "the long flows were not opened");
        check_all_answered();
    }

    void check_all_answered() {
        CHECK_TRUE_TEXT(fleet.wait_until_all_answered(test_timeout),
            "a long flow was not answered");
    }

    /// Sets the failure domain out and waits until it has no flows left.
    void take_domain_out(domain_id domain) {
        fleet.set_domain_out(domain, true);
        CHECK_TRUE_TEXT(
            run_until([&] { return fleet.callers().flows_in(domain) == 0; },
                test_timeout),
            "flows stayed in a failure domain that is out");
    }

    void check_promises() {
        STRCMP_EQUAL("", fleet.violations().c_str());
    }
};

// Guards against requests of the lost flows that are run again at another agent
// or are reported as not run.
TEST(process, killed_agent_loses_only_its_own_flows) {
    start();
    fleet.kill_agent(0);
    check_all_answered();
    CHECK_EQUAL(0U, fleet.callers().flows_at(fleet.entry(0).agent));
    check_promises();
}

// Guards against routing that depends on state of a single balancer: flows
// would break when that balancer is killed.
TEST(process, killed_balancer_breaks_no_flow) {
    start();
    fleet.kill_balancer(0);
    check_all_answered();
    CHECK_EQUAL(0U, fleet.callers().totals().abandoned);
    check_promises();
}

// Guards against a resumed balancer that trusts its stale view: it would place
// flows in a failure domain that was set out during the pause.
TEST(process, resumed_balancer_places_nothing_in_a_domain_that_went_out) {
    start();
    fleet.balancer(0).signal(SIGSTOP);
    // Packets are queued at the paused balancer until the fabric stops using
    // it. The two waits together exceed the pause after which a view must be
    // proven again.
    run_for(1s);
    fleet.use_only_balancer(1);
    run_for(1s);
    take_domain_out(1);
    fleet.kill_agent(0);
    CHECK_TRUE(
        run_until([&] { return fleet.agent(0).has_ended(); }, test_timeout));
    agent_probe probe(fleet.entry(0).agent, fleet.key());
    fleet.balancer(0).signal(SIGCONT);
    fleet.use_only_balancer(0);
    check_all_answered();
    CHECK_EQUAL(0U, probe.openings());
    check_promises();
}

// Guards against a missing exchange between peers: processes that cannot reach
// the configuration service would keep using the failure domain.
TEST(process, edit_reaches_processes_whose_configuration_service_is_down) {
    start();
    fleet.replica(1).set_down(true);
    take_domain_out(1);
    fleet.use_only_balancer(1);
    auto const from = monotonic_now();
    check_all_answered();
    CHECK_EQUAL(0U, fleet.history().runs_at(fleet.entry(0).id, from));
    check_promises();
}

// Guards against reverting an edit when a replica returns an older revision.
TEST(process, stale_replica_does_not_revert_an_edit) {
    start();
    fleet.replica(1).set_visible_limit(fleet.document().index());
    take_domain_out(1);
    fleet.use_only_balancer(1);
    auto const from = monotonic_now();
    check_all_answered();
    // The replica then serves an even older revision to all its readers.
    fleet.replica(1).set_down(true);
    fleet.replica(1).set_visible_limit(fleet.document().index() - 1);
    auto const calls = fleet.replica(1).calls();
    fleet.replica(1).set_down(false);
    CHECK_TRUE(run_until(
        [&] { return fleet.replica(1).calls() > calls; }, test_timeout));
    check_all_answered();
    CHECK_EQUAL(0U, fleet.history().runs_at(fleet.entry(0).id, from));
    check_promises();
}

// Guards against requests that wait forever on a connection that stays open but
// is no longer read or written by the backend server.
TEST(process, unresponsive_backend_connection_is_replaced) {
    start();
    fleet.backend(0).make_connections_unresponsive();
    auto const from = monotonic_now();
    CHECK_TRUE_TEXT(run_until(
                        [&] {
                            return fleet.history().runs_at(
                                       fleet.entry(0).id, from) > 0;
                        },
                        test_timeout),
        "no request ran on a new connection");
    check_all_answered();
    check_promises();
}

// Guards against a planned stop that cancels requests or drops flows, which
// violates the promises P1 and P9 (docs/promises.md).
TEST(process, stopping_agent_hands_over_its_flows_and_cancels_no_request) {
    start();
    fleet.agent(0).signal(SIGTERM);
    CHECK_TRUE_TEXT(
        run_until([&] { return fleet.agent(0).has_ended(); }, test_timeout),
        "the agent did not end");
    CHECK_EQUAL(0, fleet.agent(0).exit_status().value());
    check_all_answered();
    CHECK_EQUAL(0U, fleet.backend(0).cancelled());
    CHECK_EQUAL(0U, fleet.callers().totals().unknown);
    CHECK_EQUAL(0U, fleet.callers().totals().abandoned);
    check_promises();
}
