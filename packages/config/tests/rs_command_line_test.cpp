#include "rs_example_files.hpp"

#include <radishspread/config/rs_command_line.hpp>

#include <iostream>
#include <sstream>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace radishspread::config;

namespace {

/// Redirects a standard stream to a buffer during its lifetime.
class captured_stream {
public:
    explicit captured_stream(std::ostream& stream)
        : stream_(stream), previous_(stream.rdbuf(buf_.rdbuf())) {}
    ~captured_stream() { stream_.rdbuf(previous_); }
    captured_stream(captured_stream const&) = delete;
    captured_stream& operator=(captured_stream const&) = delete;

    [[nodiscard]] std::string text() const { return buf_.str(); }

private:
    std::ostringstream buf_;
    std::ostream& stream_;
    std::streambuf* previous_;
};

} // namespace

TEST_GROUP(command_line) {
    std::string out;
    std::string err;
    int runs = 0;
    run_function run = [this](settings const&, std::string const&) {
        ++runs;
        return 0;
    };

    int call(std::vector<std::string> args) {
        args.insert(args.begin(), "program");
        std::vector<char*> argv;
        argv.reserve(args.size());
        for (auto& each : args)
            argv.push_back(each.data());
        captured_stream const captured_out(std::cout);
        captured_stream const captured_err(std::cerr);
        int const status = run_command_line(
            static_cast<int>(argv.size()), argv.data(), role::balancer, run);
        out = captured_out.text();
        err = captured_err.text();
        return status;
    }

    static std::vector<std::string> document_arguments() {
        std::vector<std::string> args;
        for (std::string const name : {"hosts/nl-west-a", "service/orders",
                 "service/guides", "domains"}) {
            args.emplace_back("--document");
            args.push_back(name + '=' + example_path("balkonbloei/" + name));
        }
        return args;
    }
};

// Operators published edits without seeing what they changed.
TEST(command_line, check_lists_what_a_document_changes) {
    auto const in_force = example_path("balkonbloei/service/orders");
    auto const next = example_path("nashama/service/entries");
    CHECK_EQUAL(0, call({"check", "--document", "service/orders=" + in_force,
                       "--against", "service/orders=" + in_force}));
    CHECK_EQUAL("no faults\n", out);
    CHECK_EQUAL(0, call({"check", "--document", "service/entries=" + next,
                       "--against", "service/orders=" + in_force}));
    CHECK(out.find("change: service/orders: section is removed\n") !=
          std::string::npos);
    CHECK_EQUAL(2, call({"check", "--document", "service/orders=" + in_force,
                       "--against", "service/orders=" + next}));
    CHECK_EQUAL(2, call({"check", "--settings", example_path("balancer.yaml"),
                       "--against", "service/orders=" + in_force}));
}

// A process that starts with invalid settings would misroute flows or fail
// later.
TEST(command_line, run_with_invalid_settings_starts_nothing_and_exits_with_2) {
    CHECK_EQUAL(2, call({"run", "--settings", example_path("agent.yaml")}));
    CHECK_TRUE(err.find("agent.yaml:2:7: role: expected balancer") !=
               std::string::npos);
    CHECK_EQUAL(2, call({"run", "--settings", "/nonexistent"}));
    CHECK_EQUAL(2, call({"run"}));
    CHECK_EQUAL(2, call({}));
    CHECK_EQUAL(0, runs);
}

TEST(command_line, run_with_valid_settings_starts_and_reports_a_failure) {
    auto const file = example_path("balancer.yaml");
    CHECK_EQUAL(0, call({"run", "--settings", file}));
    CHECK_EQUAL(1, runs);
    run = [](settings const&, std::string const&) -> int {
        throw std::runtime_error("address in use");
    };
    CHECK_EQUAL(1, call({"run", "--settings", file}));
    CHECK_EQUAL(std::string("balancer-1: address in use\n"), err);
}

TEST(command_line, check_of_the_example_document_finds_no_fault) {
    auto args = document_arguments();
    args.insert(args.begin(), "check");
    CHECK_EQUAL(0, call(args));
    CHECK_EQUAL(std::string(), err);
}

// Sections that are valid on their own may still use the same id or agent.
TEST(command_line, check_of_conflicting_sections_exits_with_2) {
    auto const entries = example_path("nashama/service/entries");
    auto const orders = example_path("balkonbloei/service/orders");
    auto shared_port = entries;
    shared_port += ": port: expected port 7001 in one section only, also in ";
    shared_port += orders;
    CHECK_EQUAL(2, call({"check", "--document", "service/orders=" + orders,
                       "--document", "service/entries=" + entries}));
    for (std::string const& part : {entries + ": id: expected id 1 in one",
             shared_port, entries + ": backend_servers.entries-1.id: expected"})
        CHECK_TRUE_TEXT(err.find(part) != std::string::npos, part.c_str());
    auto args = document_arguments();
    args.insert(args.begin(), "check");
    args.insert(args.end(), {"--document", "service/entries=" + entries,
                                "--document", "hosts/x=/dev/null"});
    CHECK_EQUAL(2, call(args));
    for (std::string const part : {":8:21: backend_servers[0].failure_domain: "
                                   "expected a failure domain of the section",
             "/dev/null: expected a failure domain of the section 'domains', "
             "found 'x'"})
        CHECK_TRUE_TEXT(err.find(part) != std::string::npos, part.c_str());
}

// Operators use the table to find out why a flow was opened at a backend
// server.
TEST(command_line, explain_lists_every_backend_server_with_rank_or_reason) {
    auto args = document_arguments();
    args.insert(
        args.begin(), {"explain", "--settings", example_path("balancer.yaml"),
                          "--service", "orders", "--caller", "127.0.0.9:4000",
                          "--flow", "7", "--attempt", "1"});
    CHECK_EQUAL(0, call(args));
    for (std::string const part : {"\n1     orders-", "\n4     orders-",
             "orders-7", "others rank higher"})
        CHECK_TRUE_TEXT(out.find(part) != std::string::npos, part.c_str());
    args[4] = "unknown";
    CHECK_EQUAL(2, call(args));
}
