#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/internal/rs_placement.hpp>
#include <radishspread/core/internal/rs_rate_window.hpp>

#include <algorithm>
#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::internal;

namespace {

placement_candidate candidate_of(
    std::uint32_t n, bool is_local, double load_per_slot) {
    return {.agent = {.address = n, .port = 1},
        .is_local = is_local,
        .load_per_slot = load_per_slot};
}

/// Places a burst of `count` openings on load reports that are updated every
/// `refresh` openings. Returns the highest number of openings at one agent.
template <class Choose>
double replay_burst(std::size_t count, std::size_t refresh, Choose&& choose) {
    constexpr std::size_t agents = 7;
    constexpr double slots = 7;
    std::array<double, agents> placed{};
    std::vector<placement_candidate> reported;
    jitter random(5);
    for (std::size_t n = 0; n != count; ++n) {
        if (n % refresh == 0) {
            reported.clear();
            for (std::uint32_t agent = 0; agent != agents; ++agent)
                reported.push_back(
                    candidate_of(agent, false, placed[agent] / slots));
        }
        auto const* chosen = choose(reported, random.next());
        placed[chosen->agent.address] += 1;
    }
    return *std::max_element(placed.begin(), placed.end());
}

} // namespace

TEST_GROUP(placement){};

TEST(placement, local_failure_domain_is_preferred_while_it_has_free_slots) {
    std::vector<placement_candidate> const list{
        candidate_of(1, false, 0), candidate_of(2, true, 0.5)};
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK_EQUAL(2, choose_agent(list, n)->agent.address);
}

// A request that is queued in the balancer's own failure domain is late;
// crossing to another failure domain costs only a millisecond.
TEST(placement, busy_local_failure_domain_is_not_preferred) {
    std::vector<placement_candidate> const list{
        candidate_of(1, false, 0), candidate_of(2, true, 0.9)};
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK_EQUAL(1, choose_agent(list, n)->agent.address);
}

TEST(placement, suspect_agent_is_chosen_only_if_no_other_is_left) {
    std::vector<placement_candidate> list{
        candidate_of(1, true, 0), candidate_of(2, false, 3)};
    list[0].is_suspect = true;
    CHECK_EQUAL(2, choose_agent(list, 1)->agent.address);
    list.pop_back();
    CHECK_EQUAL(1, choose_agent(list, 1)->agent.address);
    CHECK(choose_agent({}, 1) == nullptr);
}

// The better of two random choices missed the only agent without a backlog
// among many, so the opening waited although it could have been served.
TEST(placement, agent_without_a_backlog_is_preferred) {
    std::vector<placement_candidate> list;
    for (std::uint32_t n = 1; n <= 20; ++n)
        list.push_back(candidate_of(n, true, n == 7 ? 1.5 : 2.5));
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK_EQUAL(7, choose_agent(list, n * 77)->agent.address);
}

// In an overload, an urgent opening waited behind other urgent ones while
// another backend server was busy with less urgent requests.
TEST(placement, fewer_urgent_requests_decide_between_backlogs) {
    std::vector<placement_candidate> list{
        candidate_of(1, true, 3), candidate_of(2, false, 4)};
    list[0].urgent_per_slot = 3;
    list[1].urgent_per_slot = 0.5;
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK_EQUAL(2, choose_agent(list, n * 77)->agent.address);
}

// A free slot is worth more than a busy one with less urgent requests.
TEST(placement, urgent_requests_decide_nothing_without_a_backlog) {
    std::vector<placement_candidate> list{
        candidate_of(1, true, 0.1), candidate_of(2, true, 0.5)};
    list[0].urgent_per_slot = 0.1;
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK_EQUAL(1, choose_agent(list, n * 77)->agent.address);
}

TEST(placement, failing_agent_is_chosen_after_those_with_a_backlog) {
    std::vector<placement_candidate> list{
        candidate_of(1, true, 0), candidate_of(2, false, 3)};
    list[0].is_failing = true;
    set_failing_aside(list, 3, 1);
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK_EQUAL(2, choose_agent(list, n * 77)->agent.address);
}

// The others could not bear the load of more than a third of the service.
TEST(placement, too_many_failing_agents_are_used_like_others) {
    std::vector<placement_candidate> list;
    for (std::uint32_t n = 1; n <= 6; ++n)
        list.push_back(candidate_of(n, true, n <= 3 ? 0 : 3));
    for (std::size_t n = 0; n != 3; ++n)
        list[n].is_failing = true;
    set_failing_aside(list, 6, 3);
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK(choose_agent(list, n * 77)->agent.address <= 3);
    set_failing_aside(list, 9, 3);
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK(choose_agent(list, n * 77)->agent.address > 3);
}

// Open flows cause requests later, so they decide between equal loads.
TEST(placement, fewer_open_flows_decide_between_equal_loads) {
    std::vector<placement_candidate> list{
        candidate_of(1, true, 0.1), candidate_of(2, true, 0.1)};
    list[0].flows_per_slot = 8;
    for (std::uint64_t n = 0; n != 20; ++n)
        CHECK_EQUAL(2, choose_agent(list, n * 77)->agent.address);
}

// With outdated reports, choosing the least loaded agent sends the whole burst
// to one agent until the next report. The better of two random choices stays
// near the mean.
TEST(placement, burst_with_outdated_reports_is_spread) {
    auto const two =
        replay_burst(98, 49, [](auto const& list, std::uint64_t random) {
            return choose_agent(list, random);
        });
    auto const least =
        replay_burst(98, 49, [](auto const& list, std::uint64_t) {
            return &*std::min_element(
                list.begin(), list.end(), [](auto const& a, auto const& b) {
                    return a.load_per_slot < b.load_per_slot;
                });
        });
    constexpr double mean = 14;
    CHECK(least > 2 * mean);
    CHECK(two < 2 * mean);
}

// A token bucket would admit its full capacity on top of the rate.
TEST(placement, rate_window_never_exceeds_the_limit_in_any_second) {
    rate_window window{std::chrono::seconds(1)};
    instant now{std::chrono::hours(1)};
    std::vector<instant> admitted;
    for (int n = 0; n != 300; ++n) {
        now += std::chrono::milliseconds(17);
        if (window.admit(now, 4))
            admitted.push_back(now);
    }
    for (std::size_t n = 4; n < admitted.size(); ++n)
        CHECK(admitted[n] - admitted[n - 4] >= std::chrono::seconds(1));
}
