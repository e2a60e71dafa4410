#ifndef RADISHSPREAD_RUNTIME_RS_UNIQUE_FD_HPP
#define RADISHSPREAD_RUNTIME_RS_UNIQUE_FD_HPP

#include <unistd.h>

#include <utility>

namespace radishspread::runtime {

/// Owns a file descriptor and closes it; -1 if it owns none.
class unique_fd {
public:
    unique_fd() = default;
    explicit unique_fd(int value) : value_(value) {}
    ~unique_fd() { reset(); }
    unique_fd(unique_fd&& other) noexcept
        : value_(std::exchange(other.value_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept {
        std::swap(value_, other.value_);
        return *this;
    }

    [[nodiscard]] int get() const { return value_; }
    explicit operator bool() const { return value_ >= 0; }

    void reset() {
        if (value_ >= 0)
            ::close(value_);
        value_ = -1;
    }

private:
    int value_ = -1;
};

} // namespace radishspread::runtime

#endif
