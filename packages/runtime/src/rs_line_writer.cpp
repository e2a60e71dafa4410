#include <radishspread/runtime/rs_line_writer.hpp>

#include <radishspread/runtime/rs_crash_report.hpp>

#include <algorithm>
#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace radishspread::runtime {

line_writer::line_writer(int fd) : fd_(fd) {
    int const flags = fcntl(fd, F_GETFL);
    if (flags >= 0)
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

void line_writer::add(std::string_view line) {
    if (queued_.size() + line.size() + 1 > max_queued) {
        ++dropped_;
        return;
    }
    queued_ += line;
    queued_ += '\n';
}

void line_writer::flush() {
    if (queued_.empty())
        return;
    auto const n = ::write(fd_, queued_.data(), queued_.size());
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return; // The lines stay queued, at most `max_queued` bytes.
    if (n < 0) {
        dropped_ += static_cast<std::uint64_t>(
            std::count(queued_.begin(), queued_.end(), '\n'));
        queued_.clear();
        return;
    }
    if (n > 0)
        output_has_partial_line =
            queued_[static_cast<std::size_t>(n) - 1] != '\n';
    queued_.erase(0, static_cast<std::size_t>(n));
}

std::uint64_t line_writer::take_dropped() {
    auto const n = dropped_;
    dropped_ = 0;
    return n;
}

} // namespace radishspread::runtime
