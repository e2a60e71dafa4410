#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PLACEMENT_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PLACEMENT_HPP

#include <radishspread/core/rs_endpoint.hpp>

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <span>

namespace radishspread::internal {

/// An agent that may be given an opening.
struct placement_candidate {
    endpoint agent;
    bool is_local = false;       ///< In the balancer's failure domain.
    bool is_suspect = false; ///< Did not answer lately.
    double load_per_slot = 0;            ///< Requests in progress for each slot.
    double flows_per_slot = 0;       ///< Open flows for each slot.
};

using placement_candidates =
    boost::container::small_vector<placement_candidate, 16>;

/// Chooses the agent for an opening, or null if there is none.
///
/// Answers two load patterns. Ordinary load: the caller's own failure domain,
/// which costs no traffic between domains, while it has free slots. A burst, or
/// few backend servers left: the lower load of two at random over all domains,
/// since reports are as old as the last opening and all balancers would
/// otherwise follow the same one. Long flows bunch where openings went first;
/// open flows decide between equal loads.
[[nodiscard]] placement_candidate const* choose_agent(
    std::span<placement_candidate const> candidates, std::uint64_t random);

} // namespace radishspread::internal

#endif
