#ifndef RADISHSPREAD_TESTS_MATRIX_RS_CHECKER_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_CHECKER_HPP

#include <fakes/rs_deployment.hpp>
#include <fakes/rs_observation.hpp>

#include <string>
#include <vector>

namespace radishspread::matrix {

/// A broken promise (1 to 10, see docs/promises.md) and the observation that
/// shows it.
struct violation {
    int promise = 0;
    std::string text;
};

/// Checks all ten promises. Uses only what is visible from outside (at callers,
/// at backend servers and on the wire) and the injected changes and faults, so
/// that it does not depend on the internal state of balancers and agents.
[[nodiscard]] std::vector<violation> check_promises(
    fakes::observations const& log, fakes::deployment const& fleet);

} // namespace radishspread::matrix

#endif
