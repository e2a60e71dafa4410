#ifndef RADISHSPREAD_TESTS_MATRIX_RS_CASE_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_CASE_HPP

#include <fakes/rs_action_filter.hpp>
#include <fakes/rs_observation.hpp>
#include <matrix/rs_checker.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::matrix {

/// One case of the matrix: one or two faults, injected in a deployment when the
/// observed flow reaches a step.
struct case_id {
    bool is_nashama = false;            ///< Deployment; otherwise balkonbloei.
    std::uint8_t first = 0;             ///< Index in `all_faults()`.
    std::optional<std::uint8_t> second; ///< Injected 400 ms after the first.
    std::uint8_t step = 0;              ///< Index in `all_steps()`.
    std::uint32_t seed = 1;
};

/// Name of a case: DEPLOYMENT/FAULT/STEP/SEED, such as
/// "balkonbloei/agent_killed/queued/1". Two faults are written "first+second".
[[nodiscard]] std::string to_string(case_id const& it);
/// Inverse of `to_string`; unset if `text` names no case.
[[nodiscard]] std::optional<case_id> parse_case(std::string_view text);

struct case_result {
    std::vector<violation> violations;
    fakes::observations log;
    bool reached_step = false;
    std::uint64_t digest = 0;
};

[[nodiscard]] case_result run_case(
    case_id const& id, fakes::action_filter& filter);

/// At each step: every fault alone in both deployments, every fault injected
/// twice, and every pair of faults. Cases with two faults run in one of the
/// deployments, in alternation.
[[nodiscard]] std::vector<case_id> all_cases();

} // namespace radishspread::matrix

#endif
