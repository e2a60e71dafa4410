#include <radishspread/runtime/rs_command.hpp>
#include <radishspread/runtime/rs_run.hpp>

int main(int argc, char** argv) {
    using namespace radishspread;
    return runtime::run_command(
        argc, argv, config::role::agent, runtime::run_agent);
}
