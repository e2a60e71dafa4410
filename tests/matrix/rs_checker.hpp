#ifndef RADISHSPREAD_TESTS_MATRIX_RS_CHECKER_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_CHECKER_HPP

#include <fakes/rs_deployment.hpp>
#include <fakes/rs_observation.hpp>

#include <string>
#include <vector>

namespace radishspread::matrix {

/// A broken promise (1 to 10, see docs/promises.md) and how it showed.
struct violation {
    int promise = 0;
    std::string text;
};

/// Checks all ten promises. Knows only what callers, backend servers and the
/// wire saw, and which changes and faults were injected.
[[nodiscard]] std::vector<violation> check_promises(
    fakes::observations const& log, fakes::deployment const& fleet);

} // namespace radishspread::matrix

#endif
