#include <radishspread/core/internal/rs_placement.hpp>

#include <algorithm>
#include <array>

namespace radishspread::internal {

namespace {

/// Load per slot below which the balancer's own failure domain is preferred.
/// Above it, a request may have to wait there.
constexpr double max_local_load = 0.6;

using pointer_list =
    boost::container::small_vector<placement_candidate const*, 16>;

bool is_less_loaded(
    placement_candidate const& a, placement_candidate const& b) {
    bool const has_backlog = a.load_per_slot >= backlog_load_per_slot &&
                             b.load_per_slot >= backlog_load_per_slot;
    if (has_backlog && a.urgent_per_slot != b.urgent_per_slot)
        return a.urgent_per_slot < b.urgent_per_slot;
    if (a.load_per_slot != b.load_per_slot)
        return a.load_per_slot < b.load_per_slot;
    return a.flows_per_slot < b.flows_per_slot;
}

placement_candidate const* less_loaded_of_two(
    pointer_list const& list, std::uint64_t random) {
    if (list.empty())
        return nullptr;
    auto const n = list.size();
    auto const first = random % n;
    auto const second =
        (first + 1 + (random >> 32U) % std::max<std::size_t>(n - 1, 1)) % n;
    return is_less_loaded(*list[second], *list[first]) ? list[second]
                                                       : list[first];
}

} // namespace

void set_failing_aside(std::span<placement_candidate> candidates,
    std::size_t eligible, std::size_t failing) {
    bool const are_few = static_cast<double>(failing) <=
                         max_set_aside_share * static_cast<double>(eligible);
    for (auto& it : candidates)
        it.is_set_aside = it.is_failing && are_few;
}

placement_candidate const* choose_agent(
    std::span<placement_candidate const> candidates, std::uint64_t random) {
    // In order of preference: local with free slots, others without a backlog,
    // agents with a backlog, those set aside, suspect agents.
    std::array<pointer_list, 5> groups;
    for (auto const& it : candidates) {
        if (it.is_suspect)
            groups[4].push_back(&it);
        else if (it.is_set_aside)
            groups[3].push_back(&it);
        else if (it.load_per_slot >= backlog_load_per_slot)
            groups[2].push_back(&it);
        else if (it.is_local && it.load_per_slot < max_local_load)
            groups[0].push_back(&it);
        else
            groups[1].push_back(&it);
    }
    for (auto const& it : groups)
        if (auto const* found = less_loaded_of_two(it, random);
            found != nullptr)
            return found;
    return nullptr;
}

} // namespace radishspread::internal
