#ifndef RADISHSPREAD_RUNTIME_RS_COMMAND_HPP
#define RADISHSPREAD_RUNTIME_RS_COMMAND_HPP

#include <radishspread/config/rs_settings.hpp>

#include <functional>
#include <string>

namespace radishspread::runtime {

/// Runs a process with its settings and their file; returns the exit status.
using run_call =
    std::function<int(config::settings settings, std::string const& file)>;

/// Handles the command line "run FILE". Returns the exit status: that of
/// `run`, or 2 if the command line or the settings have faults.
[[nodiscard]] int run_command(
    int argc, char** argv, config::role role, run_call const& run);

} // namespace radishspread::runtime

#endif
