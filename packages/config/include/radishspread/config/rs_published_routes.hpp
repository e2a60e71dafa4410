#ifndef RADISHSPREAD_CONFIG_RS_PUBLISHED_ROUTES_HPP
#define RADISHSPREAD_CONFIG_RS_PUBLISHED_ROUTES_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace radishspread::config {

/// Service that takes flows of a route, and its share.
struct weighted_service {
    std::string name;
    double weight = 1;

    friend bool operator==(
        weighted_service const&, weighted_service const&) = default;
};

/// Route as operators write it, for a check before it is published.
struct published_route {
    std::string name;
    endpoint address;
    /// New flows go to the one with the highest weight, the first of equals.
    std::vector<weighted_service> services;
    duration timeout{0}; ///< 0: none.
    duration goal{0};    ///< Response-time goal; 0: none.
    std::uint64_t priority = 0;
};

/// Service as operators write it.
struct published_service {
    std::string name;
    duration warmup_period{0};      ///< How long a started server is cold.
    double openings_per_second = 0; ///< At a cold one; 0: no limit.
};

/// Routes and services of one version.
struct published_routes {
    std::uint64_t version = 0;
    std::vector<published_route> routes;
    std::vector<published_service> services;
    duration idle_timeout{0}; ///< Of a flow without packets; 0: none.
};

} // namespace radishspread::config

#endif
