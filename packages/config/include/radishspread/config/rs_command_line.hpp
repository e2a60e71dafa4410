#ifndef RADISHSPREAD_CONFIG_RS_COMMAND_LINE_HPP
#define RADISHSPREAD_CONFIG_RS_COMMAND_LINE_HPP

#include <radishspread/config/rs_settings.hpp>

#include <functional>
#include <string>

namespace radishspread::config {

/// Exit status of both programs.
enum exit_status : int {
    exit_success = 0,
    exit_runtime_error = 1, ///< Failed at run time.
    exit_invalid_input =
        2, ///< Faults in the usage, the settings or the document.
};

/// Starts the process with its settings and the path that they came from, so
/// that it can read them again. Returns the exit status.
using run_function =
    std::function<int(settings const&, std::string const& settings_file)>;

/// The whole command line of a program: `run`, `check`, `explain`, `version`.
/// Faults go to standard error, one a line; nothing is started after one.
[[nodiscard]] int run_command_line(
    int argc, char** argv, role which, run_function const& run);

} // namespace radishspread::config

#endif
