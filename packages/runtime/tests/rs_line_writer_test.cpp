#include <radishspread/runtime/rs_line_writer.hpp>
#include <radishspread/runtime/rs_packet_event_log.hpp>

#include <array>
#include <csignal>
#include <string>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

TEST_GROUP(line_writer) {
    std::array<int, 2> pipe_fds{-1, -1};

    void setup() override {
        std::signal(SIGPIPE, SIG_IGN);
        CHECK_EQUAL(0, pipe(pipe_fds.data()));
    }
    void teardown() override {
        for (int const fd : pipe_fds)
            if (fd >= 0)
                close(fd);
    }

    std::string read_available() {
        std::string out(4096, '\0');
        auto const n = read(pipe_fds[0], out.data(), out.size());
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }
};

TEST(line_writer, lines_arrive_whole_and_in_order) {
    line_writer lines(pipe_fds[1]);
    lines.add("one");
    lines.add("two");
    lines.flush();
    CHECK_EQUAL(std::string("one\ntwo\n"), read_available());
}

// A reader of the log that stops reading must not block the event loop.
TEST(line_writer, full_pipe_drops_lines_and_counts_them) {
    line_writer lines(pipe_fds[1]);
    std::string const line(1000, 'x');
    for (int n = 0; n != 1000; ++n) {
        lines.add(line);
        lines.flush();
    }
    CHECK(lines.take_dropped() > 0);
    CHECK_EQUAL(0, lines.take_dropped());
    CHECK_EQUAL(line + '\n', read_available().substr(0, line.size() + 1));
}

TEST(line_writer, closed_pipe_drops_lines_and_counts_them) {
    line_writer lines(pipe_fds[1]);
    close(pipe_fds[0]);
    pipe_fds[0] = -1;
    lines.add("one");
    lines.flush();
    CHECK_EQUAL(1, lines.take_dropped());
}

TEST(line_writer, event_log_limits_lines_per_event_and_counts_dropped_ones) {
    packet_event_log log("p", pipe_fds[1]);
    instant const now{std::chrono::hours(1)};
    for (int n = 0; n != 300; ++n)
        log.write(now, {.number = packet_event::opening_admitted});
    log.tick(now);
    auto const written = packet_event_log::lines_per_window;
    std::string text;
    while (text.find("lines left out") == std::string::npos)
        text += read_available();
    auto const end = text.find("\"event\":1657");
    CHECK(text.find("\"value\":" + std::to_string(300 - written), end) !=
          std::string::npos);
}
