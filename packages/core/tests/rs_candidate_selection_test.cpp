#include "rs_recording_sink.hpp"

#include <radishspread/core/rs_candidate_selection.hpp>

#include <array>
#include <cmath>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;

namespace {

constexpr std::uint32_t flows = 20000;

candidate_table make_table(std::vector<backend_id> const& ids) {
    candidate_table table;
    for (auto const id : ids)
        table.add(make_backend(id), id);
    return table;
}

std::uint64_t hash_of(flow_id flow) {
    return hash_value({.service = 1, .caller = {1, 1}, .flow = flow});
}

} // namespace

TEST_GROUP(candidate_selection){};

// An error in the logarithm would change the share of flows of large backend
// servers. The tolerance is five standard deviations.
TEST(candidate_selection, first_candidates_are_in_proportion_to_slots) {
    std::array<std::uint32_t, 4> const slots{1, 2, 7, 30};
    candidate_table table;
    for (backend_id i = 0; i != slots.size(); ++i) {
        auto entry = make_backend(i + 1);
        entry.slots = slots[i];
        table.add(entry);
    }
    std::map<backend_id, double> counts;
    for (flow_id flow = 1; flow <= flows; ++flow)
        ++counts[table.select(hash_of(flow), 0).front().id];
    for (backend_id i = 0; i != slots.size(); ++i) {
        auto const expected = flows * slots[i] / 40.0;
        DOUBLES_EQUAL(expected, counts[i + 1], 5 * std::sqrt(expected));
    }
}

// If the hash depended on the number of backend servers, draining one would
// move the openings of all flows.
TEST(candidate_selection, removed_backend_server_moves_only_its_flows) {
    auto const before = make_table({1, 2, 3, 4, 5, 6});
    auto const after = make_table({1, 2, 3, 4, 6});
    for (flow_id flow = 1; flow <= 1000; ++flow) {
        auto const was = before.select(hash_of(flow), 0);
        auto const is = after.select(hash_of(flow), 0);
        CHECK_EQUAL(was[was[0].id == 5 ? 1 : 0].id, is[0].id);
    }
}

// If a repeated opening started at the same unreachable candidate, it would be
// lost again.
TEST(candidate_selection, attempt_rotates_the_same_candidates) {
    auto const table = make_table({1, 2, 3, 4, 5, 6});
    auto const first = table.select(hash_of(1), 0);
    auto const second = table.select(hash_of(1), 1);
    CHECK_EQUAL(max_candidates, first.size());
    for (std::size_t i = 0; i != first.size(); ++i)
        CHECK_TRUE(second[i] == first[(i + 1) % first.size()]);
}

// Suspects must rank last, but not be left out: the list could become empty.
TEST(candidate_selection, suspects_rank_last_and_stay_candidates) {
    auto const table = make_table({1, 2, 3});
    std::array<std::uint8_t, 4> const suspects{0, 1, 0, 1};
    for (flow_id flow = 1; flow <= 100; ++flow) {
        auto const list = table.select(hash_of(flow), 0, suspects);
        CHECK_EQUAL(3, list.size());
        CHECK_EQUAL(2, list[0].id);
    }
}

// `explain` must print the status that excludes a backend server, and the same
// candidates as a balancer selects.
TEST(candidate_selection, explanation_names_reason_of_each_backend_server) {
    auto const section = make_service(1, 1, 9);
    auto service = std::get<service_section>(section->content);
    service.backend_servers[1].is_draining = true;
    auto const domains = make_domains(1, {3});
    hosts_section const hosts{{{.name = "b4", .is_leaving = true}}};
    std::array<hosts_section const*, 1> const lists{&hosts};
    flow_key const key{.service = 1, .caller = {1, 1}, .flow = 1};
    auto const all = explain_candidates(
        service, &std::get<domains_section>(domains->content), lists, key);
    CHECK_EQUAL(9, all.size());
    CHECK_TRUE(candidate_status::draining == all[1].status);
    CHECK_TRUE(candidate_status::domain_out == all[2].status);
    CHECK_TRUE(candidate_status::host_leaving == all[3].status);
    auto const table = make_table({1, 5, 7, 8});
    auto const list = table.select(hash_of(1), 0);
    for (std::size_t i = 0; i != list.size(); ++i)
        CHECK_EQUAL(i + 1, all[list[i].id - 1].rank);
}
