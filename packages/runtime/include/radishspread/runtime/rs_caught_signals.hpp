#ifndef RADISHSPREAD_RUNTIME_RS_CAUGHT_SIGNALS_HPP
#define RADISHSPREAD_RUNTIME_RS_CAUGHT_SIGNALS_HPP

#include <radishspread/core/rs_time.hpp>

namespace radishspread::runtime {

/// From now on, `number` no longer has its default action and is kept until it
/// is taken, even if the parent had blocked or ignored it. SIGINT, SIGTERM and
/// SIGHUP may be caught.
void catch_signal(int number);

/// Ignores the signals that a write to a closed connection or to a file at its
/// size limit raises; the write returns an error instead.
void ignore_write_signals();

/// Limits the time from a caught SIGTERM or SIGINT to the end of the process,
/// even if the event loop does not run: then the process leaves its crash
/// report and ends with `status`.
void limit_stop(duration bound, int status);

/// Descriptor that becomes readable with each caught signal; -1 if there is
/// none.
[[nodiscard]] int caught_signals_descriptor();

/// Returns true if `number` has come since the last call.
[[nodiscard]] bool take_signal(int number);

} // namespace radishspread::runtime

#endif
