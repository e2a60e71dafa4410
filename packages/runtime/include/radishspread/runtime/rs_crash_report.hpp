#ifndef RADISHSPREAD_RUNTIME_RS_CRASH_REPORT_HPP
#define RADISHSPREAD_RUNTIME_RS_CRASH_REPORT_HPP

#include <atomic>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::runtime {

/// From now on, an end by a fatal signal, by an exception that nothing catches
/// or by a fatal message of GLib leaves one line of the log with the cause. The
/// status of the process stays that of the fault. Messages of libraries are
/// kept for `take_library_messages`.
void install_crash_handlers();

/// Sets the name of the process in the line; cut if it is very long.
void name_crash_reports(std::string_view process);

/// Writes the line with the cause of the end and the exit status or the number
/// of the signal, unless one was written. Allocates nothing and may be called
/// from a signal handler.
void write_crash_report(std::string_view cause, int status) noexcept;

/// Messages of libraries since the last call, oldest first.
[[nodiscard]] std::vector<std::string> take_library_messages();

/// True while standard output ends in the middle of a line; the last line then
/// starts on a new one.
inline std::atomic<bool> output_has_partial_line{false};

} // namespace radishspread::runtime

#endif
