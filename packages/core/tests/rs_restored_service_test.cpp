#include "rs_packet_balancer_fixture.hpp"

#include <radishspread/core/rs_item_follower.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

using namespace radishspread;
using namespace radishspread::test;

namespace {

constexpr endpoint peer{.address = 0x0a000101, .port = 7720};

item_page page_of(
    std::vector<fleet_change> changes, revision as_of, std::uint64_t era) {
    for (auto& it : changes)
        it.era = era;
    return {.changes = std::move(changes), .as_of = as_of, .era = era};
}

fleet_change draining(fleet_change it) {
    std::get<backend_announcement>(it.content).is_draining = true;
    return it;
}

fleet_change started_at(fleet_change it, std::uint64_t start_unix_ms) {
    std::get<backend_announcement>(it.content).start_unix_ms = start_unix_ms;
    return it;
}

fleet_change removal_of(std::uint32_t n, revision at) {
    return {.name = "backend/" + std::to_string(n), .revision = at};
}

fleet_change domain_out(revision at) {
    return {.name = "out/" + std::to_string(test_domain),
        .revision = at,
        .content = domain_taken_out{.domain = test_domain}};
}

} // namespace

/// A configuration service that is restored from a backup: it has lost its last
/// changes, gives their revisions out again, and reports a higher era.
TEST_GROUP(restored_service) {
    fleet_view view;
    item_follower core{
        item_follower_options{.prefix = "backend/", .peers = {peer}}};

    /// Lets the service reply to the next call.
    void reply(int ms, item_page const& page) {
        CHECK(core.take_call(at(ms)).has_value());
        core.handle_page(at(ms), page, view);
    }

    /// Reads two backend servers in era 1.
    void read_first_era() {
        reply(
            0, page_of({announcement_of(1, 5), announcement_of(2, 6)}, 10, 1));
    }

    /// Reads all items with the prefix of the follower in era 2.
    void read_restored(int ms, std::vector<fleet_change> changes, revision n) {
        core.restart(at(ms));
        reply(ms, page_of(std::move(changes), n, 2));
    }

    bool is_eligible(std::uint32_t n, int ms) {
        auto const* it = view.find(backend_address(n), test_service);
        return it != nullptr && view.is_eligible(at(ms), *it);
    }
};

// The watch went on from a revision that the service had given out anew, and
// changes with lower ones were ignored until the process restarted.
TEST(restored_service, higher_era_in_a_watch_leads_to_a_complete_read) {
    read_first_era();
    auto const watch = core.take_call(at(1));
    CHECK(watch->is_watch);
    core.handle_page(at(2), page_of({announcement_of(3, 12)}, 12, 2), view);
    auto const call = core.take_call(at(2));
    CHECK(!call->is_watch);
    core.handle_page(at(3), page_of({announcement_of(1, 5)}, 7, 2), view);
    CHECK_EQUAL(7, core.take_call(at(3))->after);
}

TEST(restored_service, changes_with_lower_revisions_are_in_effect) {
    read_first_era();
    read_restored(200, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    reply(300, page_of({draining(announcement_of(1, 8))}, 8, 2));
    CHECK(!is_eligible(1, 300));
    CHECK(is_eligible(2, 300));
}

TEST(restored_service, lost_history_leads_to_a_read_in_the_new_era) {
    read_first_era();
    CHECK(core.take_call(at(1)).has_value());
    core.handle_history_lost(at(2));
    reply(3, page_of({announcement_of(1, 5)}, 7, 2));
    auto const call = core.take_call(at(3));
    CHECK(call->is_watch);
    CHECK_EQUAL(7, call->after);
}

TEST(restored_service, pages_of_two_eras_are_read_again) {
    auto first = page_of({announcement_of(1, 5)}, 10, 1);
    first.has_more = true;
    reply(0, first);
    reply(1, page_of({announcement_of(2, 4)}, 7, 2));
    CHECK(!core.is_complete());
    CHECK(core.take_call(at(1))->after_name.empty());
    auto const changes = {announcement_of(1, 3), announcement_of(2, 4)};
    core.handle_page(at(2), page_of(changes, 7, 2), view);
    CHECK(core.is_complete());
    CHECK(is_eligible(1, 2));
}

// One follower of a process sees the restored service, and then the reply to a
// call of another one arrives that the service sent before.
TEST(restored_service, late_reply_of_the_old_era_is_not_used) {
    item_follower other{item_follower_options{.prefix = "backend/"}};
    read_first_era();
    CHECK(other.take_call(at(90)).has_value());
    read_restored(100, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    reply(150, page_of({draining(announcement_of(1, 8))}, 8, 2));
    other.handle_page(at(160),
        page_of({announcement_of(1, 5), announcement_of(2, 9)}, 10, 1), view);
    CHECK(!is_eligible(1, 160));
    CHECK_EQUAL(2, view.era().value());
    CHECK(!other.is_complete());
    CHECK(!other.take_call(at(200))->is_watch);
}

// Several followers had calls outstanding when the service was restored; their
// replies are no proof that the higher era is wrong.
TEST(restored_service, late_replies_do_not_give_up_the_era) {
    read_first_era();
    std::vector<item_follower> others(
        3, item_follower(item_follower_options{.prefix = "backend/"}));
    for (auto& it : others)
        CHECK(it.take_call(at(90)).has_value());
    read_restored(100, {announcement_of(1, 5)}, 7);
    for (auto& it : others)
        it.handle_page(at(160), page_of({announcement_of(1, 5)}, 10, 1), view);
    CHECK_EQUAL(2, view.era().value());
}

// The watch of the other follower may be outstanding for seconds.
TEST(restored_service, other_followers_drop_their_watches) {
    item_follower other{item_follower_options{.prefix = "backend/"}};
    read_first_era();
    CHECK(other.take_call(at(1)).has_value());
    other.handle_page(at(1), page_of({announcement_of(1, 5)}, 10, 1), view);
    CHECK(other.take_call(at(2))->is_watch);
    CHECK(!other.follow_era(at(3), view));
    read_restored(100, {announcement_of(1, 5)}, 7);
    CHECK(other.follow_era(at(101), view));
    CHECK(!other.take_call(at(101))->is_watch);
    CHECK(!other.follow_era(at(102), view));
}

// The process cannot reach the service, which another process has read.
TEST(restored_service, view_of_a_peer_in_the_new_era_is_used) {
    read_first_era();
    CHECK(core.take_call(at(1)).has_value());
    core.handle_failure(at(2), true, view);
    CHECK(core.take_call(at(2000))->peer == peer);
    core.handle_page(at(2001),
        page_of({announcement_of(1, 5), draining(announcement_of(2, 3))}, 7, 2),
        view);
    CHECK(is_eligible(1, 2001));
    CHECK(!is_eligible(2, 2001));
    // What a peer says of the era decides nothing about the service's replies.
    CHECK_EQUAL(1, view.era().value());
}

TEST(restored_service, era_that_only_a_peer_claims_is_given_up) {
    read_first_era();
    CHECK(core.take_call(at(1)).has_value());
    core.handle_failure(at(2), true, view);
    CHECK(core.take_call(at(2000)).has_value());
    core.handle_page(at(2001), page_of({}, 1, 99), view);
    CHECK(core.take_call(at(4000)).has_value());
    core.handle_page(at(4001), page_of({}, 10, 1), view);
    CHECK(is_eligible(1, 4001));
    CHECK(is_eligible(2, 4001));
}

// A wrong reply named an era without end: every true reply came after it.
TEST(restored_service, era_that_one_wrong_reply_claims_is_given_up) {
    constexpr auto wrong_era = ~std::uint64_t{0};
    read_first_era();
    reply(100, page_of({}, 1U << 20U, wrong_era));
    reply(150, page_of({}, 1U << 20U, wrong_era));
    auto const changes = {announcement_of(1, 5), announcement_of(2, 6)};
    int ms = 200;
    for (; ms < 1000 && view.era().value() != 1; ms += 20)
        if (core.take_call(at(ms)))
            core.handle_page(at(ms), page_of(changes, 10, 1), view);
    CHECK_EQUAL(1, view.era().value());
    CHECK(is_eligible(1, ms));
    CHECK(is_eligible(2, ms));
    for (int end = ms + 1000; ms < end; ms += 20)
        if (auto const call = core.take_call(at(ms)))
            core.handle_page(at(ms),
                call->is_watch
                    ? page_of({draining(announcement_of(1, 11))}, 11, 1)
                    : page_of(changes, 10, 1),
                view);
    CHECK(!is_eligible(1, ms));
    CHECK(is_eligible(2, ms + 10'000));
}

TEST(restored_service, service_without_eras_is_ordered_by_revisions) {
    reply(0, page_of({announcement_of(1, 5)}, 10, 0));
    reply(1, page_of({draining(announcement_of(1, 12))}, 12, 0));
    reply(200, page_of({announcement_of(1, 5)}, 12, 0));
    CHECK(!is_eligible(1, 200));
    CHECK(!view.is_settling(at(200)));
}

// Tests of what was known only from the seconds that the service has lost.

TEST(restored_service, lost_announcement_stays_eligible_until_it_is_repeated) {
    read_first_era();
    reply(1, page_of({announcement_of(3, 12)}, 12, 1));
    read_restored(200, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    CHECK(is_eligible(3, 2000));
    reply(2000, page_of({announcement_of(3, 8)}, 8, 2));
    CHECK(is_eligible(3, 10'000));
}

TEST(restored_service, lost_announcement_that_is_not_repeated_ends) {
    read_first_era();
    reply(1, page_of({announcement_of(3, 12)}, 12, 1));
    read_restored(200, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    CHECK(!is_eligible(3, 3000));
}

TEST(restored_service, lost_drain_stays_in_effect) {
    read_first_era();
    reply(1, page_of({draining(announcement_of(1, 12))}, 12, 1));
    read_restored(200, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    CHECK(!is_eligible(1, 200));
    CHECK(is_eligible(2, 200));
    reply(1500, page_of({draining(announcement_of(1, 8))}, 8, 2));
    view.tick(at(20'000));
    CHECK(!is_eligible(1, 20'000));
}

// The backup may have a state that lies between those that the process read.
TEST(restored_service, lost_drain_stays_in_effect_after_a_skipped_state) {
    read_first_era();
    reply(1, page_of({draining(announcement_of(1, 12))}, 12, 1));
    read_restored(200, {announcement_of(1, 8), announcement_of(2, 6)}, 9);
    CHECK(!is_eligible(1, 200));
}

// Nothing was written again, so the backend server is not draining.
TEST(restored_service, drain_that_is_not_repeated_ends) {
    read_first_era();
    reply(1, page_of({draining(announcement_of(1, 12))}, 12, 1));
    read_restored(200, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    view.tick(at(200) + fleet_view::announcer_rewrite_limit);
    CHECK(is_eligible(1, 20'000));
}

TEST(restored_service, lost_removal_stays_in_effect) {
    read_first_era();
    reply(1, page_of({removal_of(1, 12)}, 12, 1));
    CHECK(!is_eligible(1, 2));
    read_restored(200, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    CHECK(!is_eligible(1, 200));
    reply(1500, page_of({removal_of(1, 8)}, 8, 2));
    view.tick(at(20'000));
    CHECK(!is_eligible(1, 20'000));
}

TEST(restored_service, backend_server_that_starts_again_is_eligible_at_once) {
    read_first_era();
    reply(1, page_of({removal_of(1, 12)}, 12, 1));
    read_restored(
        200, {started_at(announcement_of(1, 8), 2), announcement_of(2, 6)}, 9);
    CHECK(is_eligible(1, 200));
}

TEST(restored_service, lost_routes_stay_in_effect) {
    core = item_follower{item_follower_options{.prefix = "routes"}};
    reply(0, page_of({routes_of(4, 5)}, 10, 1));
    reply(1, page_of({routes_of(7, 12)}, 12, 1));
    read_restored(200, {routes_of(4, 5)}, 7);
    CHECK_EQUAL(7, view.route_version());
    reply(300, page_of({routes_of(9, 8)}, 8, 2));
    CHECK_EQUAL(9, view.route_version());
}

TEST(restored_service, failure_domain_that_was_taken_out_stays_out) {
    core = item_follower{item_follower_options{.prefix = "out/"}};
    reply(0, page_of({}, 10, 1));
    reply(1, page_of({domain_out(12)}, 12, 1));
    read_restored(200, {}, 7);
    view.tick(at(20'000));
    CHECK(view.is_out(test_domain));
    reply(21'000, page_of({domain_out(8)}, 8, 2));
    view.tick(at(200) + 2 * fleet_view::operator_rewrite_limit);
    CHECK(view.is_out(test_domain));
}

TEST(restored_service, failure_domain_that_was_put_back_stays_in_service) {
    core = item_follower{item_follower_options{.prefix = "out/"}};
    reply(0, page_of({domain_out(9)}, 10, 1));
    reply(1, page_of({{.name = domain_out(9).name, .revision = 12}}, 12, 1));
    CHECK(!view.is_out(test_domain));
    read_restored(200, {domain_out(9)}, 9);
    CHECK(!view.is_out(test_domain));
}

// A second read in the new era, as after lost history, put it back at once.
TEST(restored_service, failure_domain_stays_out_over_several_reads) {
    core = item_follower{item_follower_options{.prefix = "out/"}};
    reply(0, page_of({}, 10, 1));
    reply(1, page_of({domain_out(12)}, 12, 1));
    read_restored(200, {}, 7);
    read_restored(1000, {}, 8);
    CHECK(view.is_out(test_domain));
    view.tick(at(200) + fleet_view::operator_rewrite_limit);
    CHECK(!view.is_out(test_domain));
}

// Its announcement had expired, and came back when its time was over.
TEST(restored_service, announcement_that_has_expired_since_does_not_return) {
    read_first_era();
    reply(1, page_of({removal_of(1, 12)}, 12, 1));
    read_restored(200, {announcement_of(1, 5), announcement_of(2, 6)}, 7);
    read_restored(3000, {announcement_of(2, 6)}, 8);
    view.tick(at(200) + fleet_view::announcer_rewrite_limit);
    CHECK(!is_eligible(1, 6000));
}

// Each announcement was read again, and its backend server was cold anew.
TEST(restored_service, unchanged_backend_server_does_not_become_cold_again) {
    auto cold = announcement_of(1, 5);
    std::get<backend_announcement>(cold.content).warmup_left =
        std::chrono::seconds(3);
    reply(0, page_of({cold}, 10, 1));
    read_restored(2000, {cold}, 7);
    auto const* it = view.find(backend_address(1), test_service);
    CHECK(it->cold_until == at(3000));
}

// All processes see the restored service at the same moment.
TEST(restored_service, reads_of_many_processes_are_spread) {
    constexpr int processes = 500;
    constexpr int spread_ms = 1000;
    std::vector<int> begun(spread_ms / 100 + 1);
    for (int n = 0; n != processes; ++n) {
        fleet_view own;
        item_follower it{item_follower_options{
            .prefix = "backend/", .seed = static_cast<std::uint64_t>(n)}};
        it.set_era_read_spread(std::chrono::milliseconds(spread_ms));
        CHECK(it.take_call(at(0)).has_value());
        it.handle_page(at(0), page_of({}, 10, 1), own);
        CHECK(it.take_call(at(1)).has_value());
        it.handle_page(at(2), page_of({}, 7, 2), own);
        ++begun[static_cast<std::size_t>(
            (it.due() - at(2)) / std::chrono::milliseconds(100))];
    }
    CHECK(*std::max_element(begun.begin(), begun.end()) <
          2 * processes / (spread_ms / 100));
}

TEST_GROUP_BASE(restored_service_search, packet_balancer_fixture){};

// The holder of the flow was announced in the seconds that the service has
// lost, so a read confirmed that all agents had rejected the flow.
TEST(restored_service_search, flow_is_not_reset_while_announcements_return) {
    auto const flow = flow_of(40'000);
    static_cast<void>(core.view().observe_era(at(900), at(800), 1));
    static_cast<void>(core.view().observe_era(at(1000), at(950), 2));
    auto const search_until = [&](int from, int to) {
        for (int ms = from; ms < to; ms += 50) {
            core.handle_caller(at(ms), caller_packet_of(flow, 5), sink);
            reply_not_held_by_all(flow, ms + 1);
            pass_time_with_reads(ms + 2, ms + 42);
        }
    };
    search_until(1000, 3400);
    CHECK(sink.resets.empty());
    search_until(3600, 4000);
    CHECK(!sink.resets.empty());
}
