#ifndef RADISHSPREAD_RUNTIME_RS_RUN_HPP
#define RADISHSPREAD_RUNTIME_RS_RUN_HPP

#include <radishspread/config/rs_settings.hpp>

#include <string>

namespace radishspread::runtime {

/// Runs a balancer until it is stopped; returns the exit status.
[[nodiscard]] int run_balancer(
    config::settings settings, std::string const& file);

/// Runs an agent until it is stopped; returns the exit status.
[[nodiscard]] int run_agent(config::settings settings, std::string const& file);

} // namespace radishspread::runtime

#endif
