#include <radishspread/config/rs_settings.hpp>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
    using namespace radishspread;
    // yaml-cpp builds regular expressions on first use and keeps them, which
    // the leak check would report for whatever test parses first.
    static_cast<void>(config::parse_settings(
        "a: 'b'\nc: [1, \"d\"]\n", {}, config::role::balancer));
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
