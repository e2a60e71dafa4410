#include "rs_packet_sink.hpp"

#include <radishspread/core/rs_fleet_view.hpp>

#include <CppUTest/TestHarness.h>

#include <ctime>
#include <vector>

using namespace radishspread;
using namespace radishspread::test;

TEST_GROUP(fleet_view) {
    fleet_view view;

    fleet_change removal(std::uint32_t n, revision at_revision) {
        return {.name = "backend/" + std::to_string(n),
            .revision = at_revision,
            .content = no_content{}};
    }

    /// Another announcement with the address of the first backend server.
    fleet_change second_announcement(revision at_revision) {
        auto change = announcement_of(1, at_revision);
        change.name = "backend/0"; // Comes first in the order of the names.
        std::get<backend_announcement>(change.content).slots = 7;
        return change;
    }

    /// The first backend server's member after the changes in this order.
    fleet_view::member view_of(std::vector<fleet_change> const& changes) {
        fleet_view read;
        for (auto const& it : changes)
            read.apply(at(0), it);
        auto const* found = read.find(backend_address(1), test_service);
        return found == nullptr ? fleet_view::member{} : *found;
    }
};

TEST(fleet_view, lower_revision_changes_nothing) {
    CHECK(view.apply(at(0), announcement_of(1, 9)));
    CHECK(!view.apply(at(1), removal(1, 9)));
    CHECK(!view.members_of(test_service)[0]->is_removed);
}

// An accepted edit must not be reverted, even if the store returns a copy of an
// older version under a higher revision.
TEST(fleet_view, older_version_of_the_routes_is_not_used) {
    view.apply(at(0), routes_of(7, 4));
    auto older = routes_of(6, 9);
    std::get<route_set>(older.content).routes.clear();
    view.apply(at(1), older);
    CHECK_EQUAL(7, view.route_version());
    CHECK_EQUAL(test_service, view.service_of(service_address));
}

TEST(fleet_view, removed_backend_server_is_known_but_not_eligible) {
    view.apply(at(0), announcement_of(1, 1));
    view.apply(at(1), removal(1, 2));
    auto const* it = view.members_of(test_service)[0];
    CHECK(it->is_removed);
    CHECK(!view.is_eligible(at(2), *it));
    view.tick(
        at(2) + fleet_view::removed_member_limit + std::chrono::seconds(1));
    CHECK(view.members_of(test_service).empty());
}

// Addresses are reused, so the backend server announced last counts. Clocks
// step, so its start may seem to be the earlier one.
TEST(fleet_view, address_of_two_announcements_belongs_to_the_later_one) {
    for (std::uint64_t const start_unix_ms : {50, 0}) {
        auto second = second_announcement(2);
        std::get<backend_announcement>(second.content).start_unix_ms =
            start_unix_ms;
        CHECK_EQUAL(start_unix_ms,
            view_of({announcement_of(1, 1), second}).start_unix_ms);
        CHECK_EQUAL(start_unix_ms,
            view_of({second, announcement_of(1, 1)}).start_unix_ms);
    }
}

// A process that had seen a removal and one that had not chose different
// backend servers.
TEST(fleet_view, address_belongs_to_the_announcement_that_is_left) {
    auto const older = announcement_of(1, 1);
    auto const later = second_announcement(2);
    auto const older_lapsed = removal(1, 3);
    fleet_change const later_lapsed{.name = later.name, .revision = 3};
    CHECK_EQUAL(7, view_of({older, later, older_lapsed}).slots);
    CHECK_EQUAL(7, view_of({later, older_lapsed, older}).slots);
    CHECK_EQUAL(2, view_of({older, later, later_lapsed}).slots);
    CHECK_EQUAL(2, view_of({later_lapsed, older}).slots);
}

// No request was served while another writer had entries with the addresses of
// the backend servers.
TEST(fleet_view, announcement_of_another_service_hides_none) {
    auto other = second_announcement(2);
    auto& content = std::get<backend_announcement>(other.content);
    content.service = test_service + 1;
    content.start_unix_ms = 50;
    content.is_draining = true;
    CHECK_EQUAL(2, view_of({announcement_of(1, 1), other}).slots);
    CHECK_EQUAL(2, view_of({other, announcement_of(1, 1)}).slots);
}

TEST(fleet_view, failure_domain_is_out_until_its_item_is_removed) {
    view.apply(at(0), announcement_of(1, 1));
    view.apply(at(0), {.name = "out/a",
                          .revision = 2,
                          .content = domain_taken_out{test_domain}});
    CHECK(!view.is_eligible(at(1), *view.members_of(test_service)[0]));
    view.apply(at(5), {.name = "out/a", .revision = 3, .content = {}});
    CHECK(view.is_eligible(at(6), *view.members_of(test_service)[0]));
    CHECK(view.restored_at(test_domain) == at(5));
}

TEST(fleet_view, items_of_one_process_give_another_the_same_view) {
    view.apply(at(0), routes_of(7, 4));
    view.apply(at(0), announcement_of(1, 5));
    view.apply(at(0), announcement_of(2, 6));
    view.apply(at(0), removal(2, 7));
    fleet_view other;
    for (auto const& it : view.items(at(1), ""))
        other.apply(at(1), it);
    CHECK_EQUAL(7, other.route_version());
    CHECK_EQUAL(1, other.members_of(test_service).size());
    CHECK(other.find(backend_address(1), test_service) != nullptr);
}

// In an outage that the process did not notice, because its watch was still
// waiting, all announcements expired at once and every opening was refused.
TEST(fleet_view, backend_servers_removed_together_stay_eligible_for_a_while) {
    for (std::uint32_t n = 1; n <= 4; ++n)
        view.apply(at(0), announcement_of(n, n));
    for (std::uint32_t n = 1; n <= 4; ++n)
        view.apply(at(100), removal(n, 10 + n));
    auto const eligible = [&](int ms) {
        int count = 0;
        for (auto const* it : view.members_of(test_service))
            count += view.is_eligible(at(ms), *it) ? 1 : 0;
        return count;
    };
    CHECK(eligible(2000) >= 3);
    CHECK_EQUAL(0, eligible(2700));
}

// Planned removals are announced as draining first, so they need no grace
// period.
TEST(fleet_view,
    draining_backend_servers_removed_together_are_ineligible_at_once) {
    for (std::uint32_t n = 1; n <= 3; ++n) {
        auto change = announcement_of(n, n);
        std::get<backend_announcement>(change.content).is_draining = true;
        view.apply(at(0), change);
        view.apply(at(100), removal(n, 10 + n));
    }
    for (auto const* it : view.members_of(test_service))
        CHECK(!view.is_eligible(at(101), *it));
}

// Each lost reply would otherwise cost the calls that only an outage is worth.
TEST(fleet_view, announcements_come_back_only_after_an_outage) {
    CHECK(!view.is_recovering(at(0)));
    view.set_reachable(at(100), false);
    view.set_reachable(at(600), true);
    CHECK(!view.is_recovering(at(600)));
    view.set_reachable(at(1000), false);
    view.set_reachable(at(1500), false);
    CHECK(!view.is_recovering(at(1900)));
    view.set_reachable(at(2000), true);
    CHECK(view.is_recovering(at(2000)));
    CHECK(view.is_recovering(at(4499)));
    CHECK(!view.is_recovering(at(4500)));
}

// A peer with an outdated view restored a removed backend server. Without a
// limit, the revisions of removed items grow without bound at 1,700 replaced
// hosts per day.
TEST(fleet_view, removed_items_stay_removed_and_their_revisions_expire) {
    view.apply(at(0), announcement_of(1, 2));
    view.apply(at(1), {.name = "backend/1", .revision = 5});
    CHECK(!view.apply(at(2), announcement_of(1, 2)));
    auto const later = at(0) + fleet_view::removed_revision_limit;
    view.tick(later);
    CHECK(!view.apply(later, announcement_of(1, 2)));
    view.tick(later + std::chrono::minutes(2));
    CHECK(view.apply(later, announcement_of(1, 2)));
}

TEST(fleet_view, members_of_a_host_are_found_by_its_address) {
    view.apply(at(0), announcement_of(1, 2));
    view.apply(at(0), announcement_of(2, 3));
    CHECK_EQUAL(1, view.members_at(backend_address(1).address).size());
    CHECK(view.members_at(0x7f000001).empty());
}

// An item created and removed between two reads must not be restored by a peer
// that has seen it.
TEST(fleet_view, complete_read_removes_older_items) {
    view.apply(at(0), announcement_of(1, 2));
    view.apply(at(1), {.name = "backend/1", .revision = 5});
    view.finish_read(at(2), "backend/", {}, {.revision = 100});
    CHECK(!view.apply(at(3), announcement_of(1, 50)));
}

// Balancers collect changes of backend servers for longer if no service limits
// the openings at cold ones.
TEST(fleet_view, warmup_limit_of_any_service_is_reported) {
    view.apply(at(0), routes_of(5, 1));
    CHECK(!view.has_warmup_limit());
    auto change = routes_of(6, 2);
    std::get<route_set>(change.content).warmups = {
        {.service = 1}, {.service = 2, .openings_per_second = 4}};
    view.apply(at(0), change);
    CHECK(view.has_warmup_limit());
}

// A page of a peer with thousands of backend servers took the processor for
// more than a minute, because each of them rebuilt all indexes.
TEST(fleet_view, many_announcements_are_merged_in_linear_time) {
    constexpr std::uint32_t count = 8000;
    auto const begin = std::clock();
    for (std::uint32_t n = 0; n != count; ++n)
        view.apply(at(0), announcement_of(n, 10));
    CHECK_EQUAL(count, view.members_of(test_service).size());
    CHECK(std::clock() - begin < 2 * CLOCKS_PER_SEC);
}

// Pages of a store without end made the view grow until the process exceeded
// its memory.
TEST(fleet_view, items_beyond_the_limit_are_ignored) {
    for (std::size_t n = 0; n != fleet_view::max_items + 5; ++n)
        view.apply(
            at(0), {.name = "backend/" + std::to_string(n), .revision = 10});
    CHECK_EQUAL(5, view.ignored_items());
    CHECK(view.apply(at(1), {.name = "backend/0", .revision = 11}));
}
