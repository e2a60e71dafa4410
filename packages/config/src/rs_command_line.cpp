#include <radishspread/config/rs_command_line.hpp>

#include <radishspread/config/internal/rs_read_text.hpp>
#include <radishspread/config/rs_explain.hpp>
#include <radishspread/config/rs_parse_document.hpp>
#include <radishspread/config/rs_review_document.hpp>

#include <CLI/CLI.hpp>

#include <exception>
#include <iostream>
#include <vector>

namespace radishspread::config {

namespace {

/// Values of the command line options.
struct arguments {
    std::string settings_file;
    std::vector<std::string> documents; ///< Each as NAME=FILE.
    std::vector<std::string> in_force;  ///< Each as NAME=FILE.
    std::string caller;
    explain_query query;
};

void print(std::vector<fault> const& faults) {
    for (auto const& each : faults)
        std::cerr << to_string(each) << '\n';
}

void print(std::vector<finding> const& findings) {
    for (auto const& each : findings)
        std::cout << to_string(each) << '\n';
}

/// Prints a fault and returns the exit status for invalid input.
int report_fault(std::string const& file, std::string const& expected) {
    print({{.file = file, .expected = expected}});
    return exit_invalid_input;
}

/// Returns the settings of a file, or prints its faults and returns an empty
/// value.
std::optional<settings> load_settings(std::string const& file, role which) {
    auto const text = read_text(file);
    if (!text) {
        report_fault(file, "expected a readable file");
        return std::nullopt;
    }
    auto parsed = parse_settings(*text, file, which);
    print(parsed.faults);
    return std::move(parsed.value);
}

/// Returns the sections of the files, or prints their faults and returns an
/// empty value.
std::optional<std::vector<section_ptr>> load_document(
    std::vector<std::string> const& documents) {
    std::vector<section_source> sources;
    bool is_complete = true;
    for (auto const& each : documents) {
        auto const equals = each.find('=');
        auto const file =
            equals == std::string::npos ? each : each.substr(equals + 1);
        auto const text =
            equals == std::string::npos ? std::nullopt : read_text(file);
        if (!text) {
            report_fault(each, "expected NAME=FILE with a readable file");
            is_complete = false;
            continue;
        }
        sources.push_back(
            {.name = each.substr(0, equals), .file = file, .text = *text});
    }
    auto parsed = parse_document(sources);
    print(parsed.faults);
    if (!is_complete || !parsed.faults.empty())
        return std::nullopt;
    return std::move(parsed.sections);
}

int do_run(arguments const& given, role which, run_function const& run) {
    auto const found = load_settings(given.settings_file, which);
    if (!found)
        return exit_invalid_input;
    try {
        return run(*found, given.settings_file);
    } catch (std::exception const& error) {
        std::cerr << found->name << ": " << error.what() << '\n';
        return exit_runtime_error;
    }
}

int do_check(arguments const& given, role which) {
    bool is_valid = true;
    if (!given.settings_file.empty())
        is_valid = load_settings(given.settings_file, which).has_value();
    auto const sections = load_document(given.documents);
    auto const in_force = load_document(given.in_force);
    if (!is_valid || !sections || !in_force)
        return exit_invalid_input;
    print(review_document(*sections));
    if (!in_force->empty())
        print(compare_documents(*in_force, *sections));
    std::cout << "no faults\n";
    return exit_success;
}

int do_explain(arguments const& given, role which) {
    auto query = given.query;
    auto const caller = parse_endpoint(given.caller);
    if (!caller)
        return report_fault(
            "--caller", "expected an IPv4 address and port such as "
                        "127.0.0.1:9000, found '" +
                            given.caller + '\'');
    query.caller = *caller;
    auto const found = load_settings(given.settings_file, which);
    auto const sections = load_document(given.documents);
    if (!found || !sections)
        return exit_invalid_input;
    auto const table = explain(*sections, query);
    if (!table)
        return report_fault("--service", "expected a service of the document, "
                                         "found '" +
                                             query.service + '\'');
    std::cout << *table;
    return exit_success;
}

CLI::Option* add_settings(CLI::App& command, arguments& given) {
    return command
        .add_option(
            "--settings", given.settings_file, "YAML settings of the process")
        ->type_name("FILE");
}

CLI::Option* add_documents(CLI::App& command, arguments& given) {
    return command
        .add_option("--document", given.documents,
            "Section of the shared document and the file with its text, such "
            "as domains=FILE or service/orders=FILE; may be repeated")
        ->type_name("NAME=FILE");
}

CLI::App* add_check(CLI::App& app, arguments& given) {
    auto* command = app.add_subcommand("check",
        "Report all faults of settings or document sections, entries that "
        "cannot match, and what a document changes");
    auto* group = command->add_option_group("what to check");
    add_settings(*group, given);
    auto* documents = add_documents(*group, given);
    group->require_option(1, 0);
    command
        ->add_option("--against", given.in_force,
            "Section in force and the file with its text, to be compared with "
            "the document; may be repeated")
        ->type_name("NAME=FILE")
        ->needs(documents);
    return command;
}

CLI::App* add_explain(CLI::App& app, arguments& given) {
    auto* command = app.add_subcommand("explain",
        "Show which backend servers are candidates for a flow, and why others "
        "are not");
    add_settings(*command, given)->required();
    add_documents(*command, given)->required();
    command->add_option("--service", given.query.service, "Name of the service")
        ->required();
    command->add_option("--caller", given.caller, "Endpoint of the caller")
        ->required()
        ->type_name("IP:PORT");
    command->add_option("--flow", given.query.flow, "Flow id of the caller")
        ->required();
    command->add_option("--attempt", given.query.attempt,
        "Number of the opening attempt, starting at 0");
    return command;
}

std::string_view program_name(role which) {
    return which == role::balancer ? "radishspread-balancer"
                                   : "radishspread-agent";
}

} // namespace

int run_command_line(
    int argc, char** argv, role which, run_function const& run) {
    arguments given;
    CLI::App app(
        "Layer-4 load balancer: " +
            std::string(which == role::balancer ? "balancer" : "agent"),
        std::string(program_name(which)));
    app.require_subcommand(1);
    app.footer(
        "Exit status: 0 success, 1 failure at run time, 2 invalid usage, "
        "settings or document.");
    auto* run_command = app.add_subcommand("run", "Run the process");
    add_settings(*run_command, given)->required();
    auto* check = add_check(app, given);
    auto* explain_command = add_explain(app, given);
    auto* version = app.add_subcommand("version", "Print the version");
    try {
        app.parse(argc, argv);
    } catch (CLI::ParseError const& error) {
        return app.exit(error) == 0 ? exit_success : exit_invalid_input;
    }
    if (version->parsed()) {
        std::cout << program_name(which) << ' ' << RADISHSPREAD_VERSION << '\n';
        return exit_success;
    }
    if (check->parsed())
        return do_check(given, which);
    if (explain_command->parsed())
        return do_explain(given, which);
    return do_run(given, which, run);
}

} // namespace radishspread::config
