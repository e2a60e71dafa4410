#ifndef RADISHSPREAD_BENCH_RS_DOMAIN_OUTAGE_HPP
#define RADISHSPREAD_BENCH_RS_DOMAIN_OUTAGE_HPP

#include <bench/rs_report.hpp>
#include <bench/rs_service_plot.hpp>

namespace radishspread::bench {

/// Figures and plot panels of the simulated outages of a failure domain.
struct outage_figures {
    std::vector<table> tables;
    std::vector<plot_panel> panels;
};

/// Measures goodput, refusals and recovery, second by second, while a failure
/// domain is taken out of service and put back.
[[nodiscard]] outage_figures measure_domain_outage(std::uint64_t seed);

} // namespace radishspread::bench

#endif
