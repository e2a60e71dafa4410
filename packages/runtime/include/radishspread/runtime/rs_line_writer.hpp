#ifndef RADISHSPREAD_RUNTIME_RS_LINE_WRITER_HPP
#define RADISHSPREAD_RUNTIME_RS_LINE_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishspread::runtime {

/// Writes lines to a file descriptor and never waits for its reader: what a
/// full or closed pipe does not take is dropped and counted.
class line_writer {
public:
    explicit line_writer(int fd);

    /// Queues a line; its end is added.
    void add(std::string_view line);
    /// Writes what is queued, in whole lines as far as the system takes them.
    void flush();

    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped();

    static constexpr std::size_t max_queued = 64U << 10U;

private:
    int fd_;
    std::string queued_;
    std::uint64_t dropped_ = 0;
};

} // namespace radishspread::runtime

#endif
