#ifndef RADISHSPREAD_RUNTIME_RS_LINE_WRITER_HPP
#define RADISHSPREAD_RUNTIME_RS_LINE_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishspread::runtime {

/// Writes lines to a file descriptor without blocking on its reader: lines that
/// do not fit in the queue, or that a closed pipe rejects, are dropped and
/// counted.
class line_writer {
public:
    explicit line_writer(int fd);

    /// Queues a line and appends a newline.
    void add(std::string_view line);
    /// Writes as much of the queue as the system accepts. After a partial write
    /// the rest of the line stays queued, so lines arrive whole.
    void flush();

    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped();

    /// Bound of the queue, in bytes.
    static constexpr std::size_t max_queued = 64U << 10U;

private:
    int fd_;
    std::string queued_;
    std::uint64_t dropped_ = 0;
};

} // namespace radishspread::runtime

#endif
