// Event loop, sockets and child processes of the stand-ins.
#ifndef REVIEW_2_LOOP_HPP
#define REVIEW_2_LOOP_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace standin {

using clock = std::chrono::steady_clock;
using instant = clock::time_point;
using ms = std::chrono::milliseconds;

/// An IPv4 address and a port.
struct address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    friend auto operator<=>(address const&, address const&) = default;
};

inline std::uint32_t ip(unsigned a, unsigned b, unsigned c, unsigned d) {
    return a << 24U | b << 16U | c << 8U | d;
}

inline std::string text(std::uint32_t ip) {
    return std::to_string(ip >> 24U) + "." + std::to_string(ip >> 16U & 255U) +
           "." + std::to_string(ip >> 8U & 255U) + "." +
           std::to_string(ip & 255U);
}

inline std::string text(address const& it) {
    return text(it.ip) + ":" + std::to_string(it.port);
}

inline sockaddr_in native(address const& it) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(it.ip);
    out.sin_port = htons(it.port);
    return out;
}

/// A case that cannot run ends with status 2.
[[noreturn]] inline void cannot_run(std::string const& why) {
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::exit(2);
}

/// One thread that waits for sockets and timers.
class loop {
public:
    using callback = std::function<void()>;

    void watch(int fd, callback call) { watched_[fd] = std::move(call); }
    void forget(int fd) { watched_.erase(fd); }
    void after(ms delay, callback call) {
        timers_.emplace(clock::now() + delay, std::move(call));
    }
    void every(ms interval, callback const& call) {
        after(interval, [this, interval, call] {
            call();
            every(interval, call);
        });
    }
    void stop() { is_stopped_ = true; }

    void run() {
        while (!is_stopped_) {
            run_timers();
            poll_once();
        }
    }

    /// Milliseconds since the start of the case.
    [[nodiscard]] long now_ms() const {
        return static_cast<long>(
            std::chrono::duration_cast<ms>(clock::now() - started_at_).count());
    }

private:
    void run_timers() {
        while (!timers_.empty() && timers_.begin()->first <= clock::now()) {
            auto const call = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            call();
        }
    }

    void poll_once() {
        std::vector<pollfd> fds;
        for (auto const& [fd, call] : watched_)
            fds.push_back({.fd = fd, .events = POLLIN, .revents = 0});
        timespec wait{.tv_sec = 0, .tv_nsec = 100'000'000};
        if (!timers_.empty()) {
            auto const left = timers_.begin()->first - clock::now();
            auto const ns =
                std::chrono::duration_cast<std::chrono::nanoseconds>(left)
                    .count();
            wait.tv_nsec = std::clamp<long>(ns, 0, wait.tv_nsec);
        }
        if (ppoll(fds.data(), fds.size(), &wait, nullptr) <= 0)
            return;
        for (auto const& it : fds) {
            if (it.revents == 0)
                continue;
            // An earlier callback may have closed it.
            auto const found = watched_.find(it.fd);
            if (found == watched_.end())
                continue;
            auto const call = found->second;
            call();
        }
    }

    instant started_at_ = clock::now();
    std::map<int, callback> watched_;
    std::multimap<instant, callback> timers_;
    bool is_stopped_ = false;
};

/// A datagram socket at a fixed address.
class datagram_socket {
public:
    using handler = std::function<void(std::string_view, address const&)>;

    datagram_socket(loop& events, address const& at, handler call)
        : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        auto const name = native(at);
        int const size = 1 << 20;
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        if (bind(fd_, reinterpret_cast<sockaddr const*>(&name), sizeof name))
            cannot_run("no datagram socket at " + text(at));
        events.watch(fd_, [this, call] {
            char buf[2048];
            sockaddr_in from{};
            socklen_t size = sizeof from;
            for (;;) {
                auto const n = recvfrom(fd_, buf, sizeof buf, 0,
                    reinterpret_cast<sockaddr*>(&from), &size);
                if (n < 0)
                    return;
                call({buf, static_cast<std::size_t>(n)},
                    {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
            }
        });
    }
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;

    void send(address const& to, std::string_view data) const {
        auto const name = native(to);
        sendto(fd_, data.data(), data.size(), 0,
            reinterpret_cast<sockaddr const*>(&name), sizeof name);
    }

private:
    int fd_;
};

/// A socket that listens for connections.
inline int new_listener(address const& at) {
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const name = native(at);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&name), sizeof name) != 0 ||
        listen(fd, 128) != 0)
        cannot_run("no listener at " + text(at));
    return fd;
}

/// A program under test.
class child {
public:
    child(std::string program, std::string role, std::string settings,
        std::string log)
        : program_(std::move(program)), role_(std::move(role)),
          settings_(std::move(settings)), log_(std::move(log)) {}
    ~child() { end(SIGKILL); }
    child(child const&) = delete;
    child& operator=(child const&) = delete;

    void start() {
        auto const parent = getpid();
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(126);
        int const fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execl(program_.c_str(), program_.c_str(), role_.c_str(), "--settings",
            settings_.c_str(), nullptr);
        _exit(127);
    }
    void signal(int number) const {
        if (pid_ > 0)
            kill(pid_, number);
    }
    /// Sends the signal and waits for the end of the process.
    void end(int number) {
        if (pid_ <= 0)
            return;
        kill(pid_, number);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    /// True if the process has ended by itself; `status` is its wait status.
    bool has_ended(int& status) {
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = 0;
        return true;
    }

private:
    std::string program_;
    std::string role_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = 0;
};

/// What was sent, answered and run, in the order of time.
class record {
public:
    record(loop const& events, std::string const& file)
        : loop_(events), file_(std::fopen(file.c_str(), "w")) {
        if (file_ == nullptr)
            cannot_run("no record at " + file);
    }
    ~record() { std::fclose(file_); }
    record(record const&) = delete;
    record& operator=(record const&) = delete;

    void line(std::string const& it) {
        std::fprintf(file_, "%7ld ms  %s\n", loop_.now_ms(), it.c_str());
        std::fflush(file_);
    }

private:
    loop const& loop_;
    FILE* file_;
};

} // namespace standin

#endif
