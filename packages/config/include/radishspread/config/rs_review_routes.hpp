#ifndef RADISHSPREAD_CONFIG_RS_REVIEW_ROUTES_HPP
#define RADISHSPREAD_CONFIG_RS_REVIEW_ROUTES_HPP

#include <radishspread/config/rs_finding.hpp>
#include <radishspread/config/rs_published_routes.hpp>

#include <vector>

namespace radishspread::config {

/// Finds routes and services that can never match, and limits that contradict
/// each other.
[[nodiscard]] std::vector<finding> review_routes(published_routes const& it);

/// Finds what publishing `next` changes in the version `in_force`.
[[nodiscard]] std::vector<finding> compare_routes(
    published_routes const& in_force, published_routes const& next);

} // namespace radishspread::config

#endif
