#ifndef RADISHSPREAD_BENCH_RS_DOMAIN_OUTAGE_HPP
#define RADISHSPREAD_BENCH_RS_DOMAIN_OUTAGE_HPP

#include <bench/rs_report.hpp>
#include <bench/rs_service_plot.hpp>

namespace radishspread::bench {

/// Figures and panels of the runs through a failure domain's absence.
struct outage_figures {
    std::vector<table> tables;
    std::vector<plot_panel> panels;
};

/// Service second by second while a failure domain leaves and returns.
[[nodiscard]] outage_figures measure_domain_outage(std::uint64_t seed);

} // namespace radishspread::bench

#endif
