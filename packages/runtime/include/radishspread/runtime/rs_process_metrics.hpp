#ifndef RADISHSPREAD_RUNTIME_RS_PROCESS_METRICS_HPP
#define RADISHSPREAD_RUNTIME_RS_PROCESS_METRICS_HPP

#include <radishspread/core/rs_caller_packet.hpp>
#include <radishspread/core/rs_caller_reply.hpp>
#include <radishspread/core/rs_reason.hpp>
#include <radishspread/runtime/rs_metrics.hpp>

#include <array>
#include <cstddef>

namespace radishspread::runtime {

/// Metrics that a process updates on its data path.
class process_metrics {
public:
    process_metrics();

    [[nodiscard]] metrics& registry() { return metrics_; }

    counter& datagrams_received;
    counter& datagrams_malformed;
    counter& datagrams_unexpected;
    counter& datagrams_discarded;
    counter& sections_applied;
    distribution& response_seconds; ///< Of the backend server; agents only.

    void count(packet_kind kind) {
        packets_[static_cast<std::size_t>(kind)]->add();
    }
    void count(caller_reply const& reply) {
        replies_[static_cast<std::size_t>(reply.kind)]->add();
        if (reply.reason != reason::none)
            reasons_[static_cast<std::size_t>(reply.reason)]->add();
    }

private:
    explicit process_metrics(std::unique_ptr<metrics> registry);

    std::unique_ptr<metrics> storage_;
    metrics& metrics_;
    std::array<counter*, 5> packets_{};
    std::array<counter*, 5> replies_{};
    std::array<counter*, 16> reasons_{};
};

} // namespace radishspread::runtime

#endif
