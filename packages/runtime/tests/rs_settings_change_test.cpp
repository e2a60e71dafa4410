#include <radishspread/runtime/rs_settings_change.hpp>

#include <cstdio>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

TEST_GROUP(settings_reloaded) {
    std::string const file = "rs_settings_change_test.yaml";
    std::string const base = "role: balancer\nname: b1\nfailure_domain: a\n"
                             "address: 127.0.0.1\npeer_port: 9000\n"
                             "metrics_port: 0\n"
                             "configuration_service: 127.0.0.1:8500\n"
                             "key: 00112233445566778899aabbccddeeff\n"
                             "peers: []\n";

    void teardown() override {
        std::remove(file.c_str());
    }

    reload_result read(std::string const& text) {
        std::ofstream(file) << text;
        return read_settings(file, config::role::balancer);
    }
};

// The operator must be told which changed keys take effect only after a
// restart.
TEST(settings_reloaded, changed_keys_are_split_by_whether_they_need_a_restart) {
    auto const before = read(base);
    auto const after = read(base + "trace: /tmp/spans.json\n");
    CHECK_TRUE(before.value.has_value());
    CHECK_TRUE(after.value.has_value());
    auto other = *after.value;
    other.peer_port = 9001;
    auto const change = compare_settings(*before.value, other);
    CHECK_EQUAL(1U, change.applicable.size());
    CHECK_TRUE(change.applicable.front() == "trace");
    CHECK_EQUAL(1U, change.needs_restart.size());
    CHECK_TRUE(change.needs_restart.front() == "peer_port");
}

// A faulty file must not change the settings in effect, and the fault must name
// its line.
TEST(settings_reloaded, faulty_file_gives_no_settings_and_reports_the_line) {
    auto const it = read(base + "peer_prot: 1\n");
    CHECK_FALSE(it.value.has_value());
    CHECK_TRUE(it.fault.find(file + ":10:") != std::string::npos);
}

// The file can be missing briefly while it is replaced.
TEST(settings_reloaded, missing_file_gives_no_settings) {
    auto const it = read_settings("no-such-file.yaml", config::role::balancer);
    CHECK_FALSE(it.value.has_value());
    CHECK_FALSE(it.fault.empty());
}
