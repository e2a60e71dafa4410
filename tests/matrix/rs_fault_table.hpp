#ifndef RADISHSPREAD_TESTS_MATRIX_RS_FAULT_TABLE_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_FAULT_TABLE_HPP

#include <fakes/rs_world.hpp>

#include <span>
#include <string_view>

namespace radishspread::matrix {

/// Where a fault strikes: what carries the observed caller's flow.
struct fault_target {
    endpoint balancer;
    endpoint agent;
    backend_id backend = 0;
    domain_id domain = 0;
};

/// One fault or change. It also schedules its own end, if it has one.
struct fault {
    std::string_view name;
    void (*inject)(fakes::world& in, fault_target at);
};

/// Step of the observed flow at which a fault strikes.
struct flow_step {
    std::string_view name;
    bool has_burst = false; ///< Needs concurrent load to be reached.
};

[[nodiscard]] std::span<fault const> all_faults();
[[nodiscard]] std::span<flow_step const> all_steps();

} // namespace radishspread::matrix

#endif
