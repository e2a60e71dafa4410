#ifndef RADISHSPREAD_CORE_RS_AGENT_OPTIONS_HPP
#define RADISHSPREAD_CORE_RS_AGENT_OPTIONS_HPP

#include <radishspread/core/rs_document_options.hpp>
#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>

namespace radishspread {

/// Settings of the agent core. The numbers of slots and connections come from
/// the service's section.
struct agent_options {
    document_options document;
    fleet_key key;
    std::uint8_t key_id = 1;
    service_id service = 0;
    backend_id backend = 0;
    domain_id domain = 0;
    /// As long as a caller tries to open a flow. With shorter times,
    /// reservations expired before the first request of a caller whose packets
    /// were delayed by a network partition.
    duration reservation_time = std::chrono::seconds(10);
    duration flow_idle_time = std::chrono::hours(24);
    duration progress_timeout = std::chrono::milliseconds(500);
    duration handover_retry = std::chrono::milliseconds(200);
    duration reconnect_minimum = std::chrono::milliseconds(100);
    duration reconnect_maximum = std::chrono::seconds(5);
    duration disconnected_limit = std::chrono::seconds(1);
    std::size_t max_stored_answers = 16U << 20U; ///< In bytes.
    std::size_t max_answer = 1U << 20U;          ///< In bytes.
    std::uint32_t retry_tokens = 10;
    double retry_ratio = 0.1; ///< Tokens earned by one successful response.
};

} // namespace radishspread

#endif
