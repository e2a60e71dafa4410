#include "rs_packet_sink.hpp"

#include <radishspread/core/rs_item_follower.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;

namespace {

constexpr endpoint peer_one{.address = 0x0a000101, .port = 7720};
constexpr endpoint peer_two{.address = 0x0a000102, .port = 7720};

} // namespace

TEST_GROUP(item_follower) {
    fleet_view view;
    item_follower core{
        item_follower_options{.prefix = "backend/", .peers = {peer_one}}};

    item_page page(std::vector<fleet_change> changes, revision as_of) {
        return {.changes = std::move(changes), .as_of = as_of};
    }

    /// Reads everything once, so that the next call is a watch.
    void complete(int ms) {
        CHECK(core.take_call(at(ms)).has_value());
        core.handle_page(at(ms), page({announcement_of(1, 5)}, 10), view);
    }

    /// Lets the service reply to each call in the same millisecond; returns the
    /// number of calls.
    template <class Reply> int count_calls(int from, int to, Reply&& reply) {
        constexpr int calls_per_ms = 10;
        int calls = 0;
        for (int ms = from; ms < to; ++ms) {
            for (int n = 0; n != calls_per_ms; ++n) {
                auto const call = core.take_call(at(ms));
                if (!call)
                    break;
                ++calls;
                reply(ms, *call);
            }
        }
        return calls;
    }

    std::size_t members() {
        return view.members_of(test_service).size();
    }
};

TEST(item_follower, complete_read_is_followed_by_a_watch_from_its_revision) {
    complete(0);
    auto const call = core.take_call(at(1));
    CHECK(call->is_watch);
    CHECK_EQUAL(10, call->after);
}

// Pages are not a consistent snapshot; changes between them must not be missed.
TEST(item_follower, watch_begins_at_the_revision_of_the_first_page) {
    CHECK(core.take_call(at(0)).has_value());
    auto first = page({announcement_of(1, 5)}, 10);
    first.has_more = true;
    core.handle_page(at(1), first, view);
    CHECK_EQUAL(std::string("backend/1"), core.take_call(at(1))->after_name);
    core.handle_page(at(2), page({announcement_of(2, 6)}, 14), view);
    CHECK_EQUAL(10, core.take_call(at(2))->after);
    CHECK_EQUAL(2, members());
}

TEST(item_follower, lost_history_leads_to_a_complete_read) {
    complete(0);
    CHECK(core.take_call(at(1)).has_value());
    core.handle_history_lost(at(2));
    auto const call = core.take_call(at(2));
    CHECK(!call->is_watch);
    core.handle_page(at(3), page({}, 30), view);
    CHECK(view.members_of(test_service)[0]->is_removed);
}

// A page with older revisions must not revert what a watch has returned.
TEST(item_follower, older_revision_does_not_replace_a_newer_one) {
    complete(0);
    CHECK(core.take_call(at(1)).has_value());
    auto draining = announcement_of(1, 20);
    std::get<backend_announcement>(draining.content).is_draining = true;
    core.handle_page(at(2), page({draining}, 20), view);
    CHECK(core.take_call(at(200)).has_value());
    core.handle_page(at(201), page({announcement_of(1, 5)}, 20), view);
    CHECK(view.members_of(test_service)[0]->is_draining);
}

TEST(item_follower, failed_call_is_followed_by_a_call_to_a_peer) {
    CHECK(core.take_call(at(0)).has_value());
    core.handle_failure(at(1), true, view);
    CHECK(!core.take_call(at(1)).has_value());
    auto const call = core.take_call(at(2000));
    CHECK(call->peer == peer_one);
    core.handle_page(at(2001), page({announcement_of(1, 5)}, 7), view);
    CHECK(core.is_complete());
    CHECK_EQUAL(1, members());
    CHECK(!core.take_call(at(4000))->peer.is_set());
}

// After a power loss during an outage, processes without a view noticed the
// return of the service up to 1.6 s late and served nobody until then.
TEST(item_follower, process_without_a_view_notices_a_return_within_a_share) {
    constexpr int reply_ms = 5;
    for (std::uint64_t seed = 1; seed != 50; ++seed)
        for (int const outage_ms : {500, 1000, 2000, 4000}) {
            item_follower starting{item_follower_options{.prefix = "backend/",
                .first_read_backoff_divisor = 8,
                .peers = {peer_one},
                .seed = seed}};
            int ms = 0;
            for (; !starting.is_complete(); ++ms) {
                auto const call = starting.take_call(at(ms));
                if (!call)
                    continue;
                ms += reply_ms;
                if (ms < outage_ms || call->peer.is_set())
                    starting.handle_failure(at(ms), true, view);
                else
                    starting.handle_page(
                        at(ms), page({announcement_of(1, 5)}, 10), view);
            }
            auto const share = std::max(100, outage_ms / 8);
            auto const slack = 100 / 4 + 4 * reply_ms;
            CHECK(ms - outage_ms <= share + share / 8 + slack);
        }
}

// The calls of processes that start in a long outage must become as rare as
// those of processes with a view; rejected calls become rare at once.
TEST(item_follower, lasting_outage_leads_to_few_calls) {
    struct load {
        bool has_view;
        bool is_outage;
        int max_early_calls; ///< In the first 10 s.
    };
    // Three followers share a budget of at least 40 calls a second.
    constexpr load loads[] = {
        {false, true, 10 * 40 / 3}, {false, false, 30}, {true, true, 30}};
    for (auto const& it : loads) {
        core = item_follower{item_follower_options{.prefix = "backend/",
            .first_read_backoff_divisor = 8,
            .peers = {peer_one}}};
        if (it.has_view)
            complete(0);
        int early_calls = 0;
        int late_calls = 0;
        for (int ms = 1; ms != 60'000; ++ms) {
            auto const call = core.take_call(at(ms));
            if (!call)
                continue;
            if (!call->peer.is_set())
                ++(ms < 10'000 ? early_calls : late_calls);
            core.handle_failure(at(ms), it.is_outage, view);
        }
        // Every other call goes to a peer.
        constexpr int mean_interval_ms = 2 * (100 / 4 + 800 / 2);
        CHECK(early_calls <= it.max_early_calls);
        CHECK(late_calls <= 50'000 / mean_interval_ms * 5 / 4);
    }
}

// Each message that named newer routes dropped the call to the service, which
// took 1.4 s to reply, for one to a peer that did not reply at all.
TEST(item_follower, looks_leave_time_for_a_slow_service) {
    constexpr int reply_ms = 1400;
    constexpr int look_interval_ms = 2000;
    int service_replies = 0;
    int started_at = 0;
    bool is_peer_call = false;
    for (int ms = 0; ms < 60'000; ms += 10) {
        bool const is_over =
            core.is_outstanding() &&
            ms - started_at >= (is_peer_call ? 1500 : reply_ms);
        if (is_over && is_peer_call)
            core.handle_failure(at(ms), true, view);
        else if (is_over) {
            core.handle_page(at(ms), page({announcement_of(1, 5)}, 10), view);
            ++service_replies;
        }
        if (ms % look_interval_ms == 0)
            core.catch_up(at(ms), peer_one);
        if (auto const call = core.take_call(at(ms))) {
            started_at = ms;
            is_peer_call = call->peer.is_set();
        }
    }
    CHECK(service_replies >= 10);
    CHECK_EQUAL(1, members());
}

// A balancer that could not reach the service waited for the call's timeout
// before it called another process.
TEST(item_follower, newer_peer_is_read_before_the_service) {
    complete(0);
    CHECK(core.take_call(at(1)).has_value());
    CHECK(core.catch_up(at(500), peer_two));
    auto const call = core.take_call(at(500));
    CHECK(call->peer == peer_two);
    core.handle_page(at(503), page({announcement_of(2, 12)}, 12), view);
    CHECK(core.take_call(at(503))->is_watch);
}

// A process of another installation, or one with a view that is wrong, hid the
// items of the service for good: its revisions were higher.
TEST(item_follower, items_of_a_peer_that_the_service_lacks_are_given_up) {
    complete(0);
    view.apply(at(0), routes_of(5, 6));
    CHECK(core.take_call(at(1)).has_value());
    CHECK(core.catch_up(at(500), peer_two));
    CHECK(core.take_call(at(500)).has_value());
    auto foreign_routes = routes_of(forged_version, 9'000'001);
    foreign_routes.name = "backend/routes";
    core.handle_page(at(503),
        page({announcement_of(9, 9'000'000), foreign_routes}, 9'000'001), view);
    CHECK(view.members_of(test_service).front()->is_removed);
    CHECK_EQUAL(forged_version, view.route_version());
    auto const call = core.take_call(at(503));
    CHECK(call->is_watch);
    CHECK_EQUAL(10, call->after);
    CHECK(call->wait < std::chrono::milliseconds(100));
    core.handle_page(at(505), page({}, 10), view);
    CHECK_EQUAL(1, members());
    CHECK(!view.members_of(test_service).front()->is_removed);
    CHECK_EQUAL(5, view.route_version());
    CHECK(!view.has_provisional_items());
    CHECK(core.take_call(at(505))->wait == item_follower_options{}.wait);
}

TEST(item_follower, complete_read_gives_up_the_items_of_a_peer) {
    CHECK(core.take_call(at(0)).has_value());
    core.handle_failure(at(1), true, view);
    CHECK(core.take_call(at(2000))->peer == peer_one);
    core.handle_page(at(2001),
        page({announcement_of(1, 9'000'000), announcement_of(9, 9'000'001)},
            9'000'001),
        view);
    CHECK_EQUAL(2, members());
    CHECK(!core.take_call(at(4000))->is_watch);
    core.handle_page(at(4001), page({announcement_of(1, 5)}, 10), view);
    CHECK_EQUAL(1, members());
    CHECK_EQUAL(10, core.as_of());
    CHECK(view.apply(at(4002), announcement_of(1, 11)));
}

// What the service confirms stays, whatever the peer returns later.
TEST(item_follower, item_of_a_peer_that_the_service_confirms_stays) {
    complete(0);
    CHECK(core.take_call(at(1)).has_value());
    CHECK(core.catch_up(at(500), peer_two));
    CHECK(core.take_call(at(500)).has_value());
    core.handle_page(at(503),
        page({announcement_of(1, 5), announcement_of(2, 12)}, 12), view);
    CHECK_EQUAL(2, members());
    CHECK(core.take_call(at(503)).has_value());
    core.handle_page(at(505), page({announcement_of(2, 12)}, 12), view);
    CHECK(!view.has_provisional_items());
    CHECK_EQUAL(2, members());
}

TEST(item_follower, outdated_peer_removes_nothing) {
    complete(0);
    CHECK(core.take_call(at(1)).has_value());
    CHECK(core.catch_up(at(500), peer_two));
    CHECK(core.take_call(at(500)).has_value());
    core.handle_page(at(503), page({}, 3), view);
    CHECK(!view.members_of(test_service)[0]->is_removed);
}

// Announcements may expire while the service is unreachable, although the
// backend servers are running.
TEST(item_follower,
    backend_server_missing_after_an_outage_stays_eligible_briefly) {
    complete(0);
    CHECK(core.take_call(at(1)).has_value());
    core.handle_failure(at(2), true, view);
    CHECK(core.restart(at(3000)));
    for (int ms = 3000; core.take_call(at(ms))->peer.is_set(); ms += 1000)
        core.handle_failure(at(ms), true, view);
    core.handle_page(at(5000), page({}, 40), view);
    auto const* member = view.members_of(test_service)[0];
    CHECK(view.is_eligible(at(6000), *member));
    CHECK(!view.is_eligible(at(8000), *member));
}

// On a link of 10 Mbit/s, reading the routes of a large edit takes longer than
// the next reply of an agent with newer routes. When each such reply dropped
// the read, it never completed.
TEST(item_follower, read_from_a_peer_ends_before_another_peer_is_read) {
    complete(0);
    CHECK(core.take_call(at(1)).has_value());
    CHECK(core.catch_up(at(500), peer_two));
    CHECK(core.take_call(at(500)).has_value());
    for (int ms = 600; ms < 1900; ms += 100)
        CHECK(!core.catch_up(at(ms), peer_one));
    core.handle_page(at(1900), page({announcement_of(2, 12)}, 12), view);
    CHECK_EQUAL(2, members());
    CHECK_EQUAL(10, core.as_of());
    CHECK(core.catch_up(at(1901), peer_one));
}

// After a power loss, searches request a new read every few milliseconds. Each
// request dropped the outstanding read.
TEST(item_follower, read_ends_before_another_one_begins) {
    CHECK(core.take_call(at(0)).has_value());
    CHECK(!core.reread(at(50)));
    CHECK(!core.reread(at(200)));
    core.handle_page(at(300), page({announcement_of(1, 4)}, 10), view);
    CHECK(core.is_complete());
    auto const next = core.take_call(at(300));
    CHECK(!next->is_watch);
    core.handle_page(at(350), page({announcement_of(1, 4)}, 10), view);
    CHECK(core.read_started() == at(300));
    CHECK(core.take_call(at(350))->is_watch);
}

TEST(item_follower, fresh_read_replaces_the_watch) {
    complete(0);
    CHECK(core.take_call(at(1))->is_watch);
    CHECK(core.reread(at(100)));
    CHECK(!core.take_call(at(100))->is_watch);
}

// A release replaces backend servers one by one, and every process follows all
// announcements. Without the delay each change cost one call per process.
TEST(item_follower, consecutive_changes_cost_one_call_per_collect_interval) {
    item_follower slow{item_follower_options{.prefix = "backend/",
        .collect_interval = std::chrono::milliseconds(500)}};
    slow.take_call(at(0));
    slow.handle_page(at(1), page({}, 1), view);
    int calls = 0;
    revision changed = 1;
    for (int ms = 2; ms < 10'000; ms += 100) {
        ++changed; // Ten changes per second.
        if (!slow.is_outstanding() && !slow.take_call(at(ms)))
            continue;
        ++calls;
        slow.handle_page(
            at(ms), page({announcement_of(1, changed)}, changed), view);
    }
    CHECK(calls <= 10'000 / 500 + 1);
    CHECK(slow.as_of() + 5 >= changed);
}

// Every process called such a service some 7,000 times a second and used a
// whole core.
TEST(item_follower, watch_that_returns_at_once_is_called_at_a_bounded_rate) {
    complete(0);
    auto const calls = count_calls(0, 10'000, [&](int ms, item_call const&) {
        core.handle_page(at(ms), page({}, 10), view);
    });
    CHECK(calls <= 40);
}

// The watch may begin at a revision that the service no longer has, whatever a
// read returns.
TEST(item_follower, history_that_is_always_lost_is_read_at_a_bounded_rate) {
    auto const calls = count_calls(0, 10'000, [&](int ms, item_call const& it) {
        if (it.is_watch)
            core.handle_history_lost(at(ms));
        else
            core.handle_page(at(ms), page({announcement_of(1, 5)}, 10), view);
    });
    CHECK(calls <= 80);
}

TEST(item_follower, watch_that_repeats_an_event_is_called_at_a_bounded_rate) {
    complete(0);
    core.set_collect_interval(duration{0});
    auto const calls = count_calls(0, 10'000, [&](int ms, item_call const&) {
        core.handle_page(at(ms), page({announcement_of(1, 5)}, 10), view);
    });
    CHECK(calls <= 40);
}

// Such a read never ends. When an empty page ended it, all items were removed.
TEST(item_follower, page_without_items_that_has_more_is_no_complete_read) {
    complete(0);
    core.handle_history_lost(at(0));
    auto const calls = count_calls(0, 10'000, [&](int ms, item_call const&) {
        auto empty = page({}, 20);
        empty.has_more = true;
        core.handle_page(at(ms), empty, view);
    });
    CHECK(calls <= 40);
    CHECK(!view.members_of(test_service)[0]->is_removed);
}

TEST(item_follower, pages_that_do_not_go_on_are_read_at_a_bounded_rate) {
    auto const calls = count_calls(0, 10'000, [&](int ms, item_call const&) {
        auto same = page({announcement_of(1, 5)}, 20);
        same.has_more = true;
        core.handle_page(at(ms), same, view);
    });
    CHECK(calls <= 60);
    CHECK(!core.is_complete());
}

// Each page has a name after that of the page before.
TEST(item_follower, pages_without_end_are_read_at_a_bounded_rate) {
    std::uint32_t n = 1'000'000;
    auto const calls = count_calls(0, 10'000, [&](int ms, item_call const&) {
        auto next = page({announcement_of(++n, 5)}, 20);
        next.has_more = true;
        core.handle_page(at(ms), next, view);
    });
    CHECK(calls <= 32 + 10 * 20);
}

TEST(item_follower, requested_reads_are_made_at_a_bounded_rate) {
    complete(0);
    auto const calls = count_calls(0, 10'000, [&](int ms, item_call const&) {
        core.handle_page(at(ms), page({announcement_of(1, 5)}, 10), view);
        core.reread(at(ms));
        core.catch_up(at(ms), peer_two);
    });
    CHECK(calls <= 32 + 10 * 20);
}

// A watch that waits as requested costs no more calls, and a change is seen as
// early, as without the bound.
TEST(item_follower, change_after_a_quiet_time_is_applied_without_delay) {
    complete(0);
    int quiet_watches = 0;
    int ms = 0;
    for (; ms < 60'000; ms += 2500, ++quiet_watches) {
        CHECK(core.take_call(at(ms)).has_value());
        core.handle_page(at(ms + 2500), page({}, 10), view);
    }
    CHECK_EQUAL(24, quiet_watches);
    CHECK(core.take_call(at(ms)).has_value());
    core.handle_page(at(ms + 1), page({announcement_of(2, 11)}, 11), view);
    CHECK_EQUAL(2, members());
    CHECK(core.take_call(at(ms + 101))->is_watch);
}

TEST(item_follower, normal_rate_returns_with_the_first_change) {
    complete(0);
    auto as_of = revision{10};
    count_calls(0, 5000, [&](int ms, item_call const&) {
        core.handle_page(at(ms), page({}, as_of), view);
    });
    CHECK(core.take_call(at(6000)).has_value());
    for (int ms = 6000; ms < 7000; ms += 100) {
        ++as_of;
        core.handle_page(
            at(ms), page({announcement_of(2, as_of)}, as_of), view);
        CHECK(core.take_call(at(ms + 100)).has_value());
    }
}

// A search that is rejected by all agents needs another read. When it replaced
// the watch, each such read cost two calls.
TEST(item_follower, follower_on_demand_reads_once_per_request) {
    item_follower reader{item_follower_options{
        .prefix = "backend/", .is_on_demand = true, .peers = {peer_one}}};
    CHECK(!reader.take_call(at(0)).has_value());
    CHECK(!reader.reread(at(10)));
    CHECK(!reader.take_call(at(10))->is_watch);
    reader.handle_page(at(14), page({announcement_of(1, 4)}, 10), view);
    CHECK(reader.read_started() == at(10));
    CHECK(!reader.take_call(at(5000)).has_value());
    CHECK(!reader.reread(at(5000)));
    CHECK(reader.take_call(at(5000)).has_value());
    reader.handle_page(at(5004), page({announcement_of(1, 4)}, 12), view);
    CHECK(reader.read_started() == at(5000));
}

TEST(item_follower, follower_on_demand_reads_again_if_requested_meanwhile) {
    item_follower reader{
        item_follower_options{.prefix = "backend/", .is_on_demand = true}};
    reader.reread(at(0));
    CHECK(reader.take_call(at(0)).has_value());
    reader.reread(at(2));
    reader.handle_page(at(4), page({}, 10), view);
    CHECK(reader.take_call(at(4)).has_value());
    reader.handle_page(at(8), page({}, 10), view);
    CHECK(reader.read_started() == at(4));
    CHECK(!reader.take_call(at(8)).has_value());
}

// A flow that nobody holds is reset only after a read, so that a read that
// failed has to be repeated.
TEST(item_follower, failed_read_on_demand_is_repeated) {
    item_follower reader{
        item_follower_options{.prefix = "backend/", .is_on_demand = true}};
    reader.reread(at(0));
    CHECK(reader.take_call(at(0)).has_value());
    reader.handle_failure(at(3), true, view);
    CHECK(reader.take_call(at(1000)).has_value());
    reader.handle_page(at(1004), page({}, 10), view);
    CHECK(reader.read_started() == at(1000));
    CHECK(!reader.take_call(at(9000)).has_value());
}
