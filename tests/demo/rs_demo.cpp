#include <standins/rs_loop.hpp>
#include <standins/rs_test_fleet.hpp>

#include <CLI/CLI.hpp>

#include <cstdint>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>

using namespace radishspread;
using namespace radishspread::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t long_flows = 500;
constexpr double short_flows_per_second = 20;
constexpr duration request_interval = 2s;
constexpr domain_id changed_domain = 3;

/// One run of the demo: changes the fleet step by step under load and prints
/// the progress.
class demo_run {
public:
    explicit demo_run(test_fleet& fleet)
        : fleet_(fleet), started_at_(monotonic_now()) {}

    [[nodiscard]] bool run() {
        fleet_.start(long_flows, request_interval, short_flows_per_second);
        bool done = wait("long flows open", 20s,
            [&] { return fleet_.callers().totals().long_flows >= long_flows; });
        run_for(2s);
        done &= replace_balancer();
        done &= drain_backends();
        done &= change_domain();
        done &= finish();
        return done;
    }

private:
    bool replace_balancer() {
        fleet_.kill_balancer(0);
        print_event("balancer 1 killed");
        bool done = fleet_.wait_until_all_answered(10s);
        print_event("every long flow was answered since");
        auto const n = fleet_.add_balancer();
        print_event("balancer " + std::to_string(n + 1) + " joins");
        run_for(1s);
        return done;
    }

    bool drain_backends() {
        fleet_.set_leaving(0, true);
        fleet_.backend(0).drain();
        print_event("backend server 1 drains, its host is listed as leaving");
        bool done = wait("backend server 1 holds no flow", 10s, [&] {
            return fleet_.callers().flows_at(fleet_.entry(0).agent) == 0;
        });
        fleet_.set_draining(1, true);
        print_event("edit: backend server 2 is set to draining");
        done &= wait("backend server 2 holds no flow", 10s, [&] {
            return fleet_.callers().flows_at(fleet_.entry(1).agent) == 0;
        });
        fleet_.set_draining(1, false);
        return done;
    }

    bool change_domain() {
        auto const out_at = monotonic_now();
        fleet_.set_domain_out(changed_domain, true);
        print_event("failure domain 3 goes out");
        bool done = wait("no flow in failure domain 3", 10s,
            [&] { return fleet_.callers().flows_in(changed_domain) == 0; });
        auto const back_at = monotonic_now();
        fleet_.set_domain_out(changed_domain, false);
        auto const last = fleet_.history().last_run_in(changed_domain, back_at);
        print_event("failure domain 3 returns; its last run began " +
                    std::to_string((last - out_at) / 1ms) +
                    " ms after it went out");
        done &= wait("failure domain 3 runs requests again", 10s, [&] {
            return fleet_.history().last_run_in(
                       changed_domain, monotonic_now()) > back_at;
        });
        return done;
    }

    bool finish() {
        auto const from = monotonic_now();
        bool const done = fleet_.wait_until_all_answered(10s);
        fleet_.callers().count_unanswered_as_broken(from);
        fleet_.callers().pause_load(true);
        return wait("all requests ended", 10s, [&] {
            return fleet_.callers().outstanding() == 0;
        }) && done;
    }

    bool wait(std::string const& what, duration timeout,
        std::function<bool()> const& condition) {
        bool const done = run_until(condition, timeout);
        print_event(done ? what : "FAILED within the time allowed: " + what);
        return done;
    }

    void print_event(std::string const& text) const {
        std::chrono::duration<double> const passed =
            monotonic_now() - started_at_;
        std::cout << std::fixed << std::setprecision(1) << std::setw(5)
                  << passed.count() << " s  " << text << std::endl;
    }

    test_fleet& fleet_;
    instant started_at_;
};

constexpr std::size_t min_requests = 2000;
constexpr std::size_t min_long_flows = 500;

void print_row(std::string_view name, std::size_t value) {
    std::cout << std::left << std::setw(48) << name << std::right
              << std::setw(8) << value << '\n';
}

/// Prints the counts of the callers and the backend servers. Returns true if no
/// promise (docs/promises.md) was violated and the run had the minimum number
/// of requests and long flows.
bool print_table(test_fleet const& fleet, traffic_totals const& totals) {
    print_row("requests", totals.requests);
    print_row("  answered", totals.answered);
    print_row("    of these with a status other than 200", totals.failed);
    print_row("  refused \"not run\"", totals.not_run);
    print_row("  unknown", totals.unknown);
    print_row("long flows opened", totals.long_flows);
    print_row("short flows", totals.short_flows);
    print_row("openings without success", totals.unopened);
    print_row("flows abandoned, failure domain out", totals.abandoned);
    std::cout << "must be 0:\n";
    print_row("  broken flows that should have survived", totals.broken);
    print_row("  packets at a wrong service", fleet.history().wrong_service());
    print_row(
        "  non-idempotent requests run twice", fleet.history().run_twice());
    print_row("  answers at the wrong caller", totals.wrong_caller);
    print_row("  incomplete answers", totals.incomplete);
    print_row("  requests run after \"not run\"", fleet.false_refusals());
    print_row(
        "  requests above a server's capacity", fleet.history().overloads());
    auto const faults = fleet.violations();
    if (!faults.empty())
        std::cout << "failed: " << faults << '\n';
    if (totals.requests < min_requests || totals.long_flows < min_long_flows) {
        std::cout << "failed: fewer requests or long flows than needed\n";
        return false;
    }
    return faults.empty();
}

int run_demo(std::string const& deployment, std::uint64_t seed) {
    test_fleet fleet(deployment == "nashama" ? nashama() : balkonbloei(), seed);
    std::cout << "deployment " << deployment << ", " << fleet.backends()
              << " backend servers, seed " << seed << '\n';
    bool const done = demo_run(fleet).run();
    bool const holds = print_table(fleet, fleet.callers().totals());
    return done && holds ? EXIT_SUCCESS : EXIT_FAILURE;
}

int run_command(int argc, char** argv) {
    CLI::App app(
        "Runs a deployment on loopback through failures and planned changes");
    std::string deployment = "balkonbloei";
    std::uint64_t seed = 1;
    app.add_option("--deployment", deployment, "balkonbloei or nashama")
        ->check(CLI::IsMember({"balkonbloei", "nashama"}));
    app.add_option("--seed", seed, "Seed of the fabric and the callers");
    CLI11_PARSE(app, argc, argv);
    return run_demo(deployment, seed);
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run_command(argc, argv);
    } catch (std::exception const& error) {
        std::cerr << "demo: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
