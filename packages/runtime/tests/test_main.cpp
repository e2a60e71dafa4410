#include <radishspread/config/rs_settings.hpp>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
    using namespace radishspread;
    // yaml-cpp compiles regular expressions on first use and caches them. The
    // leak check would report them in the first test that parses YAML.
    static_cast<void>(config::parse_settings(
        "a: 'b'\nc: [1, \"d\"]\n", {}, config::role::balancer));
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
