#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PENDING_OPENING_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PENDING_OPENING_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_refusal.hpp>
#include <radishspread/core/rs_time.hpp>

#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>

namespace radishspread::internal {

/// An opening that no agent has admitted yet.
struct pending_opening {
    std::uint32_t service = 0;
    std::uint8_t priority = 0; ///< Of the route; 0 is the most urgent.
    instant first_sent_at;     ///< Time of the caller's first transmission.
    instant reply_due;         ///< Reply timeout of `agent`; `max()`: none.
    endpoint agent;            ///< The last one that was sent the opening.
    boost::container::small_vector<endpoint, 8> tried;
    boost::container::small_vector<std::byte, 64> packet;
    endpoint least_loaded; ///< Among agents without a free slot.
    double least_load = 0;
    bool may_queue = false;
    bool is_service_full = false; ///< All agents have a backlog.
    bool is_queued = false;       ///< At `agent`, which replies later.
    bool awaits_retry = false;    ///< No retry token was available.
    bool awaits_view = false;     ///< Waits until newer routes are read.
    /// An agent that was tried has not replied and may still admit the opening.
    bool has_unresponsive_agent = false;
    refusal last_refusal = refusal::none;
    /// Refusals for lack of a free slot or, if `may_queue`, for a full queue.
    std::size_t declines = 0;

    /// Clears the record of agents tried and refusals, so that every agent may
    /// be tried again.
    void clear_attempts() {
        tried.clear();
        declines = 0;
        may_queue = false;
        is_service_full = false;
        least_loaded = {};
    }

    /// Removes the opening from the queue at `agent` and makes all others
    /// eligible again; they may have free slots by now.
    void leave_queue() {
        is_queued = false;
        clear_attempts();
        tried.assign(1, agent);
    }

    /// The reason why no agent has admitted the opening so far.
    [[nodiscard]] refusal current_refusal() const {
        if (awaits_view)
            return refusal::stale_view;
        return is_queued ? refusal::overloaded : refusal::unanswered;
    }

    /// Milliseconds since the caller's first transmission.
    [[nodiscard]] std::uint16_t age_ms(instant now) const {
        return static_cast<std::uint16_t>(
            (now - first_sent_at) / std::chrono::milliseconds(1));
    }
};

} // namespace radishspread::internal

#endif
