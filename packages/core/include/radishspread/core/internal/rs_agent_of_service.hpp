#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_OF_SERVICE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_OF_SERVICE_HPP

#include <radishspread/core/rs_endpoint.hpp>

#include <compare>
#include <cstdint>

namespace radishspread::internal {

/// An agent and the service of its backend server, as a balancer knows it. The
/// address of an agent may belong to a backend server of another service later,
/// so what an agent replies holds for the service that it was queried for.
struct agent_of_service {
    endpoint agent;
    std::uint32_t service = 0;

    // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null
    // pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(agent_of_service const&) const = default;
};

} // namespace radishspread::internal

#endif
