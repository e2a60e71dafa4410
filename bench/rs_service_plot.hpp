#ifndef RADISHSPREAD_BENCH_RS_SERVICE_PLOT_HPP
#define RADISHSPREAD_BENCH_RS_SERVICE_PLOT_HPP

#include <bench/rs_report.hpp>

#include <string>
#include <vector>

namespace radishspread::bench {

/// One panel of the plot: requests per second before, during and after the
/// outage of a failure domain.
struct plot_panel {
    std::string title;
    std::vector<series> lines; ///< In requests per second, from second 0.
    double outage_begin = 0;   ///< In seconds, as is `outage_end`.
    double outage_end = 0;
};

/// Writes an SVG file with the panels below one another. Returns false if the
/// file cannot be written.
[[nodiscard]] bool write_plot(
    std::string const& file, std::vector<plot_panel> const& panels);

} // namespace radishspread::bench

#endif
