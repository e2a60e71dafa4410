#include <bench/rs_cost.hpp>
#include <bench/rs_domain_outage.hpp>
#include <bench/rs_imbalance.hpp>
#include <bench/rs_planned_change.hpp>
#include <bench/rs_report.hpp>
#include <bench/rs_service_plot.hpp>

#include <CLI/CLI.hpp>

#include <cstdio>
#include <exception>

using namespace radishspread::bench;

namespace {

int run_command(int argc, char** argv) {
    CLI::App app(
        "Runs all measurements and prints them. The exit status does not "
        "depend on whether targets are met.");
    bool is_quick = false;
    std::string json_file;
    std::string plot_file;
    std::uint64_t seed = 1;
    app.add_flag(
        "--quick", is_quick, "run smaller measurements, under 60 s in total");
    app.add_option(
        "--json", json_file, "write all figures to this file as JSON");
    app.add_option("--plot", plot_file,
        "write an SVG plot of requests per second through the domain "
        "outages to this file");
    app.add_option("--seed", seed, "seed of all simulations in virtual time");
    CLI11_PARSE(app, argc, argv);

    std::vector<table> all;
    auto add = [&](table it) {
        print(it);
        all.push_back(std::move(it));
    };
    add(measure_planned_change(seed, is_quick));
    add(measure_imbalance(seed, is_quick));
    auto const outage = measure_domain_outage(seed);
    for (auto const& it : outage.tables)
        add(it);
    if (!plot_file.empty() && !write_plot(plot_file, outage.panels)) {
        std::fprintf(stderr, "cannot write %s\n", plot_file.c_str());
        return 2;
    }
    add(measure_cost(is_quick));
    add(measure_memory());
    if (!json_file.empty() && !write_json(json_file, seed, all)) {
        std::fprintf(stderr, "cannot write %s\n", json_file.c_str());
        return 2;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run_command(argc, argv);
    } catch (std::exception const& error) {
        std::fprintf(stderr, "%s\n", error.what());
    } catch (...) {
        std::fprintf(stderr, "unknown error\n");
    }
    return 1;
}
