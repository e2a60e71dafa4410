#ifndef RADISHSPREAD_TESTS_STANDINS_RS_CHILD_PROCESS_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace radishspread::standins {

/// A child process. The destructor kills it by its process id; if this process
/// ends without running the destructor, the kernel kills it.
class child_process {
public:
    /// Starts `arguments[0]` with `arguments` and appends its standard output
    /// and standard error to `log_file`. Throws std::system_error if fork()
    /// fails.
    child_process(std::vector<std::string> arguments, std::string log_file);
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    ~child_process();

    void signal(int number) const;
    /// Returns true once the child has ended; never blocks.
    [[nodiscard]] bool has_ended();
    /// Exit status, or the negated number of the signal that ended the child;
    /// empty until `has_ended()` has detected the end.
    [[nodiscard]] std::optional<int> exit_status() const { return status_; }
    [[nodiscard]] std::string log_text() const;

private:
    void reap(int options);

    std::string log_file_;
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace radishspread::standins

#endif
