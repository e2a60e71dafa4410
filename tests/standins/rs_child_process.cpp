#include <standins/rs_child_process.hpp>
#include <standins/rs_socket.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace radishspread::standins {

namespace {

[[noreturn]] void run_child(char* const* arguments, int log_fd, pid_t parent) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // If the parent ended before prctl(), the signal is never delivered.
    if (getppid() != parent)
        _exit(126);
    dup2(log_fd, STDOUT_FILENO);
    dup2(log_fd, STDERR_FILENO);
    execv(arguments[0], arguments);
    _exit(127);
}

} // namespace

child_process::child_process(
    std::vector<std::string> arguments, std::string log_file)
    : log_file_(std::move(log_file)) {
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        raw.push_back(argument.data());
    raw.push_back(nullptr);
    unique_fd const log(open(log_file_.c_str(),
        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR));
    auto const parent = getpid();
    pid_ = fork();
    if (pid_ < 0)
        throw std::system_error(errno, std::generic_category(), "fork");
    if (pid_ == 0)
        run_child(raw.data(), log.get(), parent);
}

child_process::~child_process() {
    if (has_ended())
        return;
    kill(pid_, SIGKILL);
    reap(0);
}

void child_process::signal(int number) const {
    if (!status_)
        kill(pid_, number);
}

bool child_process::has_ended() {
    if (!status_)
        reap(WNOHANG);
    return status_.has_value();
}

void child_process::reap(int options) {
    int status = 0;
    if (waitpid(pid_, &status, options) == pid_)
        status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string child_process::log_text() const {
    std::ifstream in(log_file_);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace radishspread::standins
