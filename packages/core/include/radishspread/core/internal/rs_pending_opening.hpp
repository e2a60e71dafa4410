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
struct pending_opening {
    std::uint32_t service = 0;
    instant received_at;
    instant first_copy_at;      ///< When the caller sent its first copy.
    instant reply_due; ///< The agent asked last should have answered.
    endpoint agent;     ///< Asked last.
    boost::container::small_vector<endpoint, 8> tried;
    boost::container::small_vector<std::byte, 64> packet;
    endpoint least_loaded; ///< Of the agents without a free slot.
    double least_load = 0;
    bool is_forced = false;
    bool is_queued = false;        ///< At `agent`, which answers later.
    bool awaits_retry = false;    ///< All repetitions are used up for now.
    bool awaits_view = false;      ///< Goes on once newer routes were read.
    bool has_unresponsive_agent = false; ///< One did not answer, and may yet take it.
    refusal last_refusal = refusal::none;
    std::size_t declines = 0; ///< For lack of a free slot.

    /// Forgets which agents have declined.
    void clear_attempts() {
        tried.clear();
        declines = 0;
        is_forced = false;
        least_loaded = {};
    }

    /// The opening has lost its place at `agent`; others may have free slots by
    /// now.
    void leave_queue() {
        is_queued = false;
        clear_attempts();
        tried.assign(1, agent);
    }

    /// Why nobody has taken the opening so far.
    [[nodiscard]] refusal current_refusal() const {
        if (awaits_view)
            return refusal::stale_view;
        return is_queued ? refusal::overloaded : refusal::unanswered;
    }

    /// Milliseconds since the caller's first copy.
    [[nodiscard]] std::uint16_t age_ms(instant now) const {
        return static_cast<std::uint16_t>(
            (now - first_copy_at) / std::chrono::milliseconds(1));
    }
};

} // namespace radishspread::internal

#endif
