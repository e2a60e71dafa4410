#include <matrix/rs_case.hpp>
#include <matrix/rs_fault_table.hpp>
#include <matrix/rs_mutations.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

using namespace radishspread;
using namespace radishspread::matrix;

namespace {

struct case_outcome {
    std::vector<violation> violations;
    std::uint64_t digest = 0;
    bool reached_step = false;
};

/// Runs the cases on all cores. Each case simulates its own fleet, so the
/// results do not depend on the number of threads.
std::vector<case_outcome> run_all(std::vector<case_id> const& cases) {
    std::vector<case_outcome> rows(cases.size());
    std::atomic<std::size_t> next = 0;
    auto work = [&] {
        for (auto i = next++; i < cases.size(); i = next++) {
            fakes::action_filter none;
            auto result = run_case(cases[i], none);
            rows[i] = {std::move(result.violations), result.digest,
                result.reached_step};
        }
    };
    std::vector<std::thread> threads;
    auto const n = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned i = 0; i < n; ++i)
        threads.emplace_back(work);
    for (auto& it : threads)
        it.join();
    return rows;
}

/// Names of the cases that `file` lists as known to fail, in lines of the form
/// "matrix CASE ...".
std::set<std::string> read_known_red(std::string const& file) {
    std::set<std::string> known;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string kind;
        std::string name;
        if (words >> kind >> name && kind == "matrix")
            known.insert(name);
    }
    return known;
}

void print_table(
    std::vector<case_id> const& cases, std::vector<case_outcome> const& rows) {
    std::map<std::pair<int, int>, std::pair<int, int>> cells;
    std::map<std::size_t, std::pair<int, int>> reached;
    for (std::size_t i = 0; i < cases.size(); ++i) {
        bool const is_failing = !rows[i].violations.empty();
        std::set<std::uint8_t> const faults{
            cases[i].first, cases[i].second.value_or(cases[i].first)};
        for (auto const it : faults) {
            auto& cell = cells[{it, cases[i].step}];
            ++cell.first;
            cell.second += is_failing ? 1 : 0;
        }
        ++reached[cases[i].step].first;
        reached[cases[i].step].second += rows[i].reached_step ? 1 : 0;
    }
    std::printf("failing cases by fault and step\n%-26s", "");
    for (auto const& it : all_steps())
        std::printf("%8.8s", std::string(it.name).c_str());
    std::printf("\n");
    for (std::size_t f = 0; f < all_faults().size(); ++f) {
        std::printf("%-26s", std::string(all_faults()[f].name).c_str());
        for (std::size_t s = 0; s < all_steps().size(); ++s)
            std::printf("%4d/%-3d", cells[{f, s}].second, cells[{f, s}].first);
        std::printf("\n");
    }
    std::printf("%-26s", "step reached");
    for (std::size_t s = 0; s < all_steps().size(); ++s)
        std::printf("%4d/%-3d", reached[s].second, reached[s].first);
    std::printf("\n");
}

int run_matrix(std::string const& known_red_file, bool lists_all) {
    auto const cases = all_cases();
    auto const rows = run_all(cases);
    auto const known_failures = read_known_red(known_red_file);
    print_table(cases, rows);
    std::uint64_t digest = 0;
    std::size_t failing = 0;
    std::size_t unlisted = 0;
    std::map<int, int> by_promise;
    for (std::size_t i = 0; i < cases.size(); ++i) {
        digest = digest * 31 + rows[i].digest;
        if (rows[i].violations.empty())
            continue;
        ++failing;
        auto const name = to_string(cases[i]);
        bool const is_listed = known_failures.contains(name);
        unlisted += is_listed ? 0 : 1;
        for (auto const& it : rows[i].violations)
            ++by_promise[it.promise];
        if (lists_all || (failing <= 20))
            std::printf("%s %s: P%d %s\n", is_listed ? "known red" : "FAILING",
                name.c_str(), rows[i].violations.front().promise,
                rows[i].violations.front().text.c_str());
    }
    for (auto const& [promise, n] : by_promise)
        std::printf("P%d: %d violations\n", promise, n);
    std::printf("digest %016lx\n", digest);
    std::printf("%zu cases, %zu failing\n", cases.size(), failing);
    return unlisted == 0 ? 0 : 1;
}

int run_one(std::string const& name, int with_mutation) {
    auto const id = parse_case(name);
    if (!id) {
        std::fprintf(stderr, "no such case: %s\n", name.c_str());
        return 2;
    }
    fakes::action_filter none;
    auto const filter = with_mutation > 0
                            ? all_mutations()[with_mutation - 1].make()
                            : std::make_unique<fakes::action_filter>();
    auto const result = run_case(*id, *filter);
    for (auto const& it : result.log)
        std::printf("%s\n", fakes::to_string(it).c_str());
    for (auto const& it : result.violations)
        std::printf("P%d %s\n", it.promise, it.text.c_str());
    std::printf("digest %016lx\n1 cases, %d failing\n", result.digest,
        result.violations.empty() ? 0 : 1);
    return result.violations.empty() ? 0 : 1;
}

/// Runs each mutation over the cases with a single fault until a case reports
/// a violation of the promise that the mutation breaks.
int run_mutants() {
    int undetected = 0;
    for (auto const& it : all_mutations()) {
        std::string detecting_case;
        for (auto const& id : all_cases()) {
            if (id.second)
                continue;
            auto const filter = it.make();
            auto const result = run_case(id, *filter);
            bool const is_detected = std::any_of(result.violations.begin(),
                result.violations.end(),
                [&](auto const& found) { return found.promise == it.promise; });
            if (!is_detected)
                continue;
            detecting_case = to_string(id);
            break;
        }
        undetected += detecting_case.empty() ? 1 : 0;
        std::printf("P%-2d %-36s %s\n", it.promise,
            std::string(it.text).c_str(),
            detecting_case.empty() ? "NOT CAUGHT" : detecting_case.c_str());
    }
    std::printf(
        "%zu mutations, %d not caught\n", all_mutations().size(), undetected);
    return undetected == 0 ? 0 : 1;
}

int run_command(int argc, char** argv) {
    CLI::App app("Runs the fault matrix on the balancer and agent cores.");
    std::string name;
    std::string known_red_file = "KNOWN-RED.txt";
    bool runs_mutants = false;
    bool lists_all = false;
    int with_mutation = 0;
    app.add_option("--case", name, "run one case and print its trace");
    app.add_option("--known-red", known_red_file,
        "file that lists the cases known to fail");
    app.add_option("--mutation", with_mutation, "with --case: apply mutation N")
        ->check(CLI::Range(1, 10));
    app.add_flag(
        "--mutants", runs_mutants, "check that every mutation is detected");
    app.add_flag("--all", lists_all, "list every failing case");
    CLI11_PARSE(app, argc, argv);
    if (!name.empty())
        return run_one(name, with_mutation);
    return runs_mutants ? run_mutants() : run_matrix(known_red_file, lists_all);
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
