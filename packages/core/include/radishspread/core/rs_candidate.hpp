#ifndef RADISHSPREAD_CORE_RS_CANDIDATE_HPP
#define RADISHSPREAD_CORE_RS_CANDIDATE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <boost/container/static_vector.hpp>
#include <cstddef>

namespace radishspread {

/// A backend server that may accept an opening, and its agent.
struct candidate {
    backend_id id = 0;
    endpoint agent;
    domain_id domain = 0;

    friend bool operator==(candidate const&, candidate const&) = default;
};

/// Maximum number of candidates of one opening.
inline constexpr std::size_t max_candidates = 4;

/// Candidates of one opening, best first.
using candidate_list =
    boost::container::static_vector<candidate, max_candidates>;

} // namespace radishspread

#endif
