#include "rs_example_files.hpp"

#include <radishspread/config/rs_settings.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::config;

namespace {

parsed_settings parse_example(std::string const& name, role expected) {
    return parse_settings(read_example(name), example_path(name), expected);
}

} // namespace

TEST_GROUP(settings_file){};

TEST(settings_file, example_of_each_role_is_read_completely) {
    auto const balancer = parse_example("balancer.yaml", role::balancer);
    CHECK_EQUAL(std::string(), join(balancer.faults));
    CHECK_EQUAL(0x7f00000bU, balancer.value->address);
    CHECK_EQUAL(15, balancer.value->key.bytes[15]);
    CHECK_EQUAL(2U, balancer.value->peers.size());
    auto const agent = parse_example("agent.yaml", role::agent);
    CHECK_EQUAL(std::string(), join(agent.faults));
    CHECK_EQUAL(std::string("orders"), agent.value->service);
    CHECK_EQUAL(101U, agent.value->backend);
    CHECK_EQUAL(8080, agent.value->backend_address.port);
    CHECK_TRUE(agent.value->stop_deadline == std::chrono::seconds(30));
}

// If only the first fault were reported, operators would need one start of the
// process for each fault in a file.
TEST(settings_file, all_faults_of_a_file_are_reported_with_their_position) {
    auto const* text = "role: agent\n"
                       "name: 'a b'\n"
                       "failure_domain: [x]\n"
                       "address: 0.0.0.0\n"
                       "peer_port: 70000\n"
                       "metrics_port: \"9\"\n"
                       "configuration_service: localhost:80\n"
                       "peers: [1.2.3.4:5, 1.2.3.4:5, 1.2.3.4]\n"
                       "peers: []\n"
                       "colour: red\n"
                       "limits:\n"
                       "  open_timeout_ms: 5\n"
                       "  retry_minimum_ms: 600\n"
                       "  retry_maximum_ms: 500\n";
    auto const result = parse_settings(text, "f", role::balancer);
    CHECK_FALSE(result.value.has_value());
    CHECK_EQUAL(
        std::string(
            "f:1:1: key: expected either key or key_file\n"
            "f:1:1: service: expected this key, not found\n"
            "f:1:1: backend_server: expected this key, not found\n"
            "f:1:1: backend_address: expected this key, not found\n"
            "f:1:7: role: expected balancer for this program, found agent\n"
            "f:2:7: name: expected a name of 1 to 64 letters, digits, '.', "
            "'_' or '-', found the string 'a b'\n"
            "f:3:17: failure_domain: expected a name of 1 to 64 letters, "
            "digits, '.', '_' or '-', found a list\n"
            "f:4:10: address: expected the IPv4 address of this host "
            "such as 10.0.0.1, found '0.0.0.0'\n"
            "f:5:12: peer_port: expected an integer from 1 to 65535, found "
            "'70000'\n"
            "f:6:15: metrics_port: expected an integer from 0 to 65535, found "
            "the string '9'\n"
            "f:7:24: configuration_service: expected an IPv4 address and port "
            "such as 127.0.0.1:9000, found 'localhost:80'\n"
            "f:8:20: peers[1]: expected a unique value, found a duplicate\n"
            "f:8:31: peers[2]: expected an IPv4 address and port such "
            "as 127.0.0.1:9000, found '1.2.3.4'\n"
            "f:9:1: expected each key once, found duplicate 'peers'\n"
            "f:10:1: expected a known key, found 'colour'\n"
            "f:12:3: limits: expected a known key, found 'open_timeout_ms'\n"
            "f:14:21: limits.retry_maximum_ms: expected at least the value of "
            "retry_minimum_ms\n"),
        join(result.faults));
}

// Faults are copied to logs and tickets, so they must not disclose the key.
TEST(settings_file, faulty_key_is_never_quoted) {
    std::string const secret = "00112233445566778899aabbccddeef";
    for (auto const& text : {"key: " + secret, "key: [" + secret + ']', secret,
             std::string("key_file: /nonexistent")}) {
        auto const result = parse_settings(text, "f", role::agent);
        CHECK_FALSE(result.faults.empty());
        CHECK_EQUAL(std::string::npos, join(result.faults).find(secret));
    }
}
