#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PENDING_OPENING_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PENDING_OPENING_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_refusal.hpp>
#include <radishspread/core/rs_time.hpp>

#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>

namespace radishspread::internal {

/// An opening that no agent has taken yet.
struct opening_in_progress {
    std::uint32_t service = 0;
    instant started;
    instant answer_due; ///< The agent asked last should have answered.
    endpoint agent;     ///< Asked last.
    boost::container::small_vector<endpoint, 8> tried;
    boost::container::small_vector<std::byte, 64> packet;
    endpoint least_loaded; ///< Of the agents without a free slot.
    double least_share = 0;
    bool is_forced = false;
    bool awaits_view = false;      ///< Goes on once newer routes were read.
    bool has_silent_agent = false; ///< One did not answer, and may yet take it.
    refusal last_refusal = refusal::none;
};

} // namespace radishspread::internal

#endif
