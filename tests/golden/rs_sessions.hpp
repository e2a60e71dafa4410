#ifndef RADISHSPREAD_TESTS_GOLDEN_RS_SESSIONS_HPP
#define RADISHSPREAD_TESTS_GOLDEN_RS_SESSIONS_HPP

#include <string>

namespace radishspread::golden {

// Each function runs one session in virtual time and returns its record, as
// `session_recorder` writes it.

[[nodiscard]] std::string drain_under_load();
[[nodiscard]] std::string domain_out_and_back();
[[nodiscard]] std::string order_through_two_balancers();
[[nodiscard]] std::string agent_restart_during_order();
[[nodiscard]] std::string edit_during_outage();
[[nodiscard]] std::string split_and_heal();

} // namespace radishspread::golden

#endif
