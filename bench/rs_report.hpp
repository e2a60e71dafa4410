#ifndef RADISHSPREAD_BENCH_RS_REPORT_HPP
#define RADISHSPREAD_BENCH_RS_REPORT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishspread::bench {

/// Target of a figure: an upper or a lower bound.
struct target {
    enum class kind : std::uint8_t { at_most, at_least };
    kind relation = kind::at_most;
    double value = 0;
};

[[nodiscard]] inline target at_most(double value) {
    return {target::kind::at_most, value};
}
[[nodiscard]] inline target at_least(double value) {
    return {target::kind::at_least, value};
}

/// A measured figure. `value` is unset if it could not be measured.
struct figure {
    std::string name;
    std::optional<double> value;
    std::string unit;
    std::optional<target> bound;
};

/// A time series with one value per second.
struct series {
    std::string name;
    std::vector<double> values;
};

/// All figures of one measurement; `note` states its conditions.
struct table {
    std::string title;
    std::string note;
    std::vector<figure> figures;
    std::vector<series> per_second;
};

/// Whether the figure meets its target: "met", "not met", "no target" or "not
/// measured".
[[nodiscard]] std::string mark_of(figure const& it);

void print(table const& it);

/// Writes all tables as JSON. Returns false if the file cannot be written.
[[nodiscard]] bool write_json(
    std::string const& file, std::uint64_t seed, std::vector<table> const& all);

} // namespace radishspread::bench

#endif
