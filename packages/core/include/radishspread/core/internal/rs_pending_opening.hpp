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
    instant begun;      ///< When the caller sent its first copy.
    instant answer_due; ///< The agent asked last should have answered.
    endpoint agent;     ///< Asked last.
    boost::container::small_vector<endpoint, 8> tried;
    boost::container::small_vector<std::byte, 64> packet;
    endpoint least_loaded; ///< Of the agents without a free slot.
    double least_share = 0;
    bool may_queue = false;
    bool is_queued = false;        ///< At `agent`, which answers later.
    bool awaits_repeat = false;    ///< All repetitions are used up for now.
    bool awaits_view = false;      ///< Goes on once newer routes were read.
    bool has_silent_agent = false; ///< One did not answer, and may yet take it.
    refusal last_refusal = refusal::none;
    std::size_t declines = 0; ///< For lack of a free slot.

    /// Forgets which agents have declined.
    void start_over() {
        tried.clear();
        declines = 0;
        may_queue = false;
        least_loaded = {};
    }

    /// The opening has lost its place at `agent`; others may have free slots by
    /// now.
    void leave_queue() {
        is_queued = false;
        start_over();
        tried.assign(1, agent);
    }

    /// Why nobody has taken the opening so far.
    [[nodiscard]] refusal why_not_taken() const {
        if (awaits_view)
            return refusal::stale_view;
        return is_queued ? refusal::overloaded : refusal::unanswered;
    }

    /// Milliseconds since the caller's first copy.
    [[nodiscard]] std::uint16_t age_ms(instant now) const {
        return static_cast<std::uint16_t>(
            (now - begun) / std::chrono::milliseconds(1));
    }
};

} // namespace radishspread::internal

#endif
