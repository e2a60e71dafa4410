#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PLACEMENT_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PLACEMENT_HPP

#include <radishspread/core/rs_endpoint.hpp>

#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishspread::internal {

/// An agent that is eligible for an opening.
struct placement_candidate {
    endpoint agent;
    bool is_local = false;     ///< In the balancer's failure domain.
    bool is_failing = false;   ///< Its backend server fails many requests.
    bool is_set_aside = false; ///< Because of that, others come first.
    bool is_suspect = false;   ///< Did not reply, or is leaving.
    double load_per_slot = 0;  ///< Requests in progress per slot.
    /// Those that are at least as urgent as the opening.
    double urgent_per_slot = 0;
    double flows_per_slot = 0; ///< Open flows per slot.
};

using placement_candidates =
    boost::container::small_vector<placement_candidate, 16>;

/// Load per slot from which on an agent has a backlog: at least as many
/// openings wait as requests are served. Load reports are too old to tell a
/// full agent from one that has just become free.
inline constexpr double backlog_load_per_slot = 2;

/// Largest share of a service that is set aside. If more backend servers fail,
/// the cause is likely not theirs, and the others could not bear the load.
inline constexpr double max_set_aside_share = 1.0 / 3;

/// Sets the failing agents aside unless they are too many. `eligible` is the
/// number of agents of the service and `failing` how many of them fail, with
/// those that are no candidates any more.
void set_failing_aside(std::span<placement_candidate> candidates,
    std::size_t eligible, std::size_t failing);

/// Chooses the agent for an opening; null if there is no candidate.
///
/// Under ordinary load it chooses within the balancer's own failure domain
/// while that has free slots, which avoids traffic between domains. In a burst,
/// or with few backend servers left, it takes the less loaded of two random
/// agents from all domains: load reports are only as recent as the last
/// opening, and all balancers would otherwise choose the same agent. Equal
/// loads are decided by the number of open flows, because long flows accumulate
/// at the agents that received openings first. Agents with a backlog come last,
/// before suspect ones: after an outage, or while many backend servers are
/// replaced, most agents have one. Among these, only the requests that are at
/// least as urgent delay the opening. Agents that are set aside come after
/// those with a backlog.
[[nodiscard]] placement_candidate const* choose_agent(
    std::span<placement_candidate const> candidates, std::uint64_t random);

} // namespace radishspread::internal

#endif
