#include <radishspread/runtime/rs_opening_metrics.hpp>

#include <radishspread/core/rs_packet_events.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <string_view>

namespace radishspread::runtime {

namespace {

/// From a round trip within a failure domain to the time at which callers
/// abandon an opening, in seconds.
constexpr std::array<double, 9> wait_bounds{
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.5};

/// Less urgent priorities are counted together.
constexpr int last_priority = 7;

/// Value of the label `result`; empty if the event rejects no opening.
std::string_view result_of(std::uint16_t event) {
    switch (event) {
    case packet_event::opening_refused:
        return "refused";
    case packet_event::opening_declined:
        return "declined";
    case packet_event::opening_dropped:
        return "expired";
    case packet_event::opening_abandoned:
        return "abandoned";
    default:
        return {};
    }
}

} // namespace

histogram& opening_metrics::wait_of(endpoint route) {
    auto const found = waits_.find(route);
    if (found != waits_.end())
        return *found->second;
    bool const is_told_apart = waits_.size() < max_routes;
    auto const label = is_told_apart ? to_string(route) : "other";
    auto& out = metrics_.add_histogram("radishspread_opening_wait_seconds",
        "Time that admitted openings waited for a slot.",
        "route=\"" + label + '"', wait_bounds);
    if (is_told_apart)
        waits_.emplace(route, &out);
    return out;
}

void opening_metrics::record(packet_log const& event) {
    if (event.number == packet_event::opening_admitted &&
        event.queued_for >= duration{0})
        wait_of(event.flow.service)
            .add(std::chrono::duration<double>(event.queued_for).count());
    if (event.number == packet_event::caller_over_share)
        metrics_
            .add_counter("radishspread_openings_over_share_total",
                "Openings queued behind those of other callers.")
            .add();
    auto const result = result_of(event.number);
    if (result.empty())
        return;
    std::string labels = "result=\"";
    labels += result;
    labels += "\",reason=\"";
    labels += to_string(event.why);
    labels += "\",priority=\"";
    labels += std::to_string(std::min(event.priority, last_priority));
    labels += '"';
    metrics_
        .add_counter("radishspread_openings_rejected_total",
            "Openings that were not admitted, see docs/OPERATIONS.md.", labels)
        .add();
}

} // namespace radishspread::runtime
