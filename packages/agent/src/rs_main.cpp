#include <radishspread/config/rs_command_line.hpp>
#include <radishspread/runtime/rs_run.hpp>

int main(int argc, char** argv) {
    using namespace radishspread;
    return config::run_command_line(
        argc, argv, config::role::agent, runtime::run_agent);
}
