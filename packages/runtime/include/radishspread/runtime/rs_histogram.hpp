#ifndef RADISHSPREAD_RUNTIME_RS_HISTOGRAM_HPP
#define RADISHSPREAD_RUNTIME_RS_HISTOGRAM_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace radishspread::runtime {

/// Histogram of durations in seconds, exported with cumulative buckets.
class histogram {
public:
    /// `bounds`: upper bounds of the buckets, ascending.
    explicit histogram(std::span<double const> bounds);
    ~histogram();
    histogram(histogram const&) = delete;
    histogram& operator=(histogram const&) = delete;

    void add(double seconds);

    /// Samples that are at most `bounds()[n]`.
    [[nodiscard]] std::uint64_t count_up_to(std::size_t n) const;
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const { return sum_; }
    [[nodiscard]] std::span<double const> bounds() const { return bounds_; }

private:
    struct samples;

    std::vector<double> bounds_;
    std::unique_ptr<samples> samples_;
    double sum_ = 0;
};

} // namespace radishspread::runtime

#endif
