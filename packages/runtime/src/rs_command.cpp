#include <radishspread/runtime/rs_command.hpp>
#include <radishspread/runtime/rs_settings_change.hpp>

#include <CLI/CLI.hpp>

#include <iostream>

namespace radishspread::runtime {

namespace {

constexpr int invalid_settings = 2;

} // namespace

int run_command(int argc, char** argv, config::role role, run_call const& run) {
    CLI::App app("Layer-4 load balancer for small fleets");
    app.require_subcommand(1);
    std::string file;
    auto* command = app.add_subcommand("run", "Run until stopped by a signal");
    command->add_option("file", file, "Settings file")->required();
    try {
        app.parse(argc, argv);
    } catch (CLI::ParseError const& error) {
        return app.exit(error) == 0 ? 0 : invalid_settings;
    }
    auto settings = read_settings(file, role);
    if (settings.value)
        return run(std::move(*settings.value), file);
    std::cerr << settings.fault << '\n';
    return invalid_settings;
}

} // namespace radishspread::runtime
