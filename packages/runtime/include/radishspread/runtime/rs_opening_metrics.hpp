#ifndef RADISHSPREAD_RUNTIME_RS_OPENING_METRICS_HPP
#define RADISHSPREAD_RUNTIME_RS_OPENING_METRICS_HPP

#include <radishspread/core/rs_packet_log.hpp>
#include <radishspread/runtime/rs_metrics.hpp>

#include <cstddef>
#include <map>

namespace radishspread::runtime {

/// Metrics of the decisions about openings, from their log events: the time
/// that admitted openings waited, by route, the openings of callers that have
/// more than their share of a queue, and the openings that were not admitted,
/// by event, reason and priority.
class opening_metrics {
public:
    explicit opening_metrics(metrics& registry) : metrics_(registry) {}

    void record(packet_log const& event);

    /// Routes that are told apart; the waits of further ones have the label
    /// `other`. Each takes a few hundred bytes for as long as the process runs.
    static constexpr std::size_t max_routes = 64;

private:
    [[nodiscard]] histogram& wait_of(endpoint route);

    metrics& metrics_;
    std::map<endpoint, histogram*> waits_;
};

} // namespace radishspread::runtime

#endif
