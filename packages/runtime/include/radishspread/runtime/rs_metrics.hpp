#ifndef RADISHSPREAD_RUNTIME_RS_METRICS_HPP
#define RADISHSPREAD_RUNTIME_RS_METRICS_HPP

#include <radishspread/runtime/rs_histogram.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace radishspread::runtime {

/// Counter exported by the metrics endpoint.
class counter {
public:
    void add(std::uint64_t n = 1) { sum_(n); }
    [[nodiscard]] std::uint64_t value() const {
        return boost::accumulators::sum(sum_);
    }

private:
    boost::accumulators::accumulator_set<std::uint64_t,
        boost::accumulators::stats<boost::accumulators::tag::sum>>
        sum_;
};

/// Quantiles reported by each distribution.
inline constexpr std::array<double, 4> reported_quantiles{
    0.5, 0.9, 0.99, 0.999};

/// Distribution of durations in seconds, exported as a summary. The quantiles
/// are estimates over the time since the start of the process.
class distribution {
public:
    distribution();
    void add(double seconds) { samples_(seconds); }

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;
    /// Estimate for `reported_quantiles[n]`.
    [[nodiscard]] double quantile(std::size_t n) const;

private:
    using accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count,
            boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square>>;
    accumulator samples_;
};

/// All metrics of the process. Returned references stay valid during the
/// lifetime of this object.
class metrics {
public:
    using gauge = std::function<double()>;

    /// `labels` in the syntax of the text format, without braces:
    /// `kind="open"`.
    counter& add_counter(std::string_view name, std::string_view help,
        std::string_view labels = {});
    distribution& add_distribution(
        std::string_view name, std::string_view help);
    /// `bounds` are used by the first call for `name` and `labels`.
    histogram& add_histogram(std::string_view name, std::string_view help,
        std::string_view labels, std::span<double const> bounds);
    void add_gauge(
        std::string_view name, std::string_view help, gauge read_value);

    /// All metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    /// Metric family: everything exported under one name.
    struct family {
        std::string help;
        std::map<std::string, std::unique_ptr<counter>> counters;
        std::unique_ptr<distribution> samples;
        std::map<std::string, std::unique_ptr<histogram>> histograms;
        gauge read_value;
    };

    /// Returns the family of that name; adds it if there is none.
    family& find(std::string_view name, std::string_view help);

    std::map<std::string, family, std::less<>> families_;
};

} // namespace radishspread::runtime

#endif
