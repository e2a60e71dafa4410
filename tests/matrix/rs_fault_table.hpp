#ifndef RADISHSPREAD_TESTS_MATRIX_RS_FAULT_TABLE_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_FAULT_TABLE_HPP

#include <fakes/rs_simulation.hpp>

#include <span>
#include <string_view>

namespace radishspread::matrix {

/// Processes, backend server and failure domain that serve the flow of the
/// observed caller. Faults are injected there.
struct fault_target {
    endpoint balancer;
    endpoint agent;
    backend_id backend = 0;
    domain_id domain = 0;
};

/// One fault or planned change. `inject` also schedules the end of a temporary
/// fault.
struct fault {
    std::string_view name;
    void (*inject)(fakes::simulation& sim, fault_target target);
};

/// Step of the observed flow at which faults are injected.
struct flow_step {
    std::string_view name;
    bool has_burst = false; ///< Is reached only under concurrent load.
};

[[nodiscard]] std::span<fault const> all_faults();
[[nodiscard]] std::span<flow_step const> all_steps();

} // namespace radishspread::matrix

#endif
