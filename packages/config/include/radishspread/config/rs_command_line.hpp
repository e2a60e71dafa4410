#ifndef RADISHSPREAD_CONFIG_RS_COMMAND_LINE_HPP
#define RADISHSPREAD_CONFIG_RS_COMMAND_LINE_HPP

#include <radishspread/config/rs_settings.hpp>

#include <functional>
#include <string>

namespace radishspread::config {

/// Exit status of the balancer and of the agent.
enum exit_status : int {
    exit_success = 0,
    exit_runtime_error = 1, ///< Failure at run time.
    exit_invalid_input = 2, ///< Invalid usage, settings or document.
    exit_stop_deadline = 3, ///< A stop did not end by its deadline.
};

/// Runs the process with its settings and returns the exit status. The path of
/// the settings file allows the process to reload it.
using run_function =
    std::function<int(settings const&, std::string const& settings_file)>;

/// Executes the command line of a program with its subcommands `run`, `check`,
/// `explain` and `version`. Writes faults to standard error, one per line, and
/// does not call `run` if there are any.
[[nodiscard]] int run_command_line(
    int argc, char** argv, role which, run_function const& run);

} // namespace radishspread::config

#endif
