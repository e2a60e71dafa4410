#ifndef RADISHSPREAD_TESTS_STANDINS_RS_CHILD_PROCESS_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace radishspread::standins {

/// A child process. It is killed by its id when the object is destroyed, and
/// by the kernel when this process ends in any other way.
class child_process {
public:
    /// Starts `arguments`; output is appended to `log_file`. Throws
    /// std::system_error.
    child_process(std::vector<std::string> arguments, std::string log_file);
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    ~child_process();

    void signal(int number) const;
    /// True once the child has ended; never blocks.
    [[nodiscard]] bool has_ended();
    /// Exit status, or minus the signal that ended it; empty while it runs.
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
