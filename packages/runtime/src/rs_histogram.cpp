#include <radishspread/runtime/rs_histogram.hpp>

#include <boost/histogram.hpp>

#include <cmath>
#include <limits>
#include <tuple>

namespace radishspread::runtime {

namespace {

namespace bh = boost::histogram;

constexpr double infinity = std::numeric_limits<double>::infinity();

using axis =
    bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using storage = bh::dense_storage<std::uint64_t>;

// A bucket of the library includes its lower bound, one of the text format its
// upper bound.
axis make_axis(std::span<double const> bounds) {
    std::vector<double> edges{-infinity};
    for (double const it : bounds)
        edges.push_back(std::nextafter(it, infinity));
    return axis(edges);
}

} // namespace

struct histogram::samples {
    bh::histogram<std::tuple<axis>, storage> counts;
};

histogram::histogram(std::span<double const> bounds)
    : bounds_(bounds.begin(), bounds.end()),
      samples_(
          new samples{bh::make_histogram_with(storage(), make_axis(bounds))}) {}

histogram::~histogram() = default;

void histogram::add(double seconds) {
    samples_->counts(seconds);
    sum_ += seconds;
}

std::uint64_t histogram::count_up_to(std::size_t n) const {
    std::uint64_t out = 0;
    for (std::size_t bucket = 0; bucket <= n; ++bucket)
        out += samples_->counts.at(static_cast<int>(bucket));
    return out;
}

std::uint64_t histogram::count() const {
    return count_up_to(bounds_.size()); // The last bucket has no bound.
}

} // namespace radishspread::runtime
