#ifndef RADISHSPREAD_TESTS_STANDINS_RS_TRAFFIC_TOTALS_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_TRAFFIC_TOTALS_HPP

#include <radishspread/core/rs_reason.hpp>

#include <cstddef>

namespace radishspread::standins {

/// Counts of requests, flows and errors as observed by the callers.
struct traffic_totals {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t failed = 0; ///< Of `answered`: with a status other than 200.
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t long_flows = 0;  ///< Long flows that were opened.
    std::size_t short_flows = 0; ///< Short flows that were started.
    std::size_t unopened = 0;    ///< Flows whose opening failed.
    std::size_t abandoned = 0;   ///< Lost with their agent or failure domain.
    std::size_t broken = 0;      ///< Lost, but not allowed to be lost.
    reason last_broken_reason = reason::none;
    std::size_t wrong_caller = 0; ///< Replies to another caller or request.
    std::size_t incomplete = 0;   ///< Answers with missing or wrong parts.
};

} // namespace radishspread::standins

#endif
