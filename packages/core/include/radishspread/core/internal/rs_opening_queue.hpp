#ifndef RADISHSPREAD_CORE_INTERNAL_RS_OPENING_QUEUE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_OPENING_QUEUE_HPP

#include <radishspread/core/rs_agent_packet.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace radishspread::internal {

/// An opening that waits for a free slot of the backend server.
struct queued_opening {
    endpoint balancer;    ///< Receives the result.
    agent_packet message; ///< Its `packet` is unset.
    std::vector<std::byte> packet;
    instant first_sent_at;     ///< When the caller sent its first copy.
    duration goal{0};          ///< Response-time goal of the route.
    std::uint8_t priority = 0; ///< 0 is the most urgent.
};

/// Priority queue of openings at an agent whose backend server has no free
/// slot.
///
/// Designed for short overload: after an outage, or in a burst, more openings
/// arrive for some seconds than the slots can take. First-in-first-out order
/// would make all of them late, and immediate refusal would let callers use up
/// their retries within milliseconds. Openings that can still meet their goal
/// are served first, by priority and then newest first; the others follow by
/// priority and then oldest first, since the oldest are abandoned soonest. An
/// opening that could not be served before its caller gives up is not queued.
class opening_queue {
public:
    /// Callers abandon an opening `opening_age_limit` after its first copy.
    explicit opening_queue(duration opening_age_limit)
        : opening_age_limit_(opening_age_limit) {}

    /// Queues the opening unless the queue is full or the opening would expire
    /// before its turn; false if not queued. `service` is the response time of
    /// the backend server, which has `slots` slots.
    bool push(instant now, queued_opening opening, duration service,
        std::size_t slots);

    /// Removes and returns the opening to be served next; `service` is the
    /// response time of the backend server. Empty if the queue is empty.
    std::optional<queued_opening> pop(instant now, duration service);

    /// Removes and returns an opening that its caller has abandoned, if any.
    std::optional<queued_opening> pop_expired(instant now);

    [[nodiscard]] bool contains(packet_flow const& flow) const;
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

    static constexpr std::size_t max_size = 512;

private:
    std::optional<queued_opening> take(std::vector<queued_opening>::iterator);

    duration opening_age_limit_;
    std::vector<queued_opening> waiting_;
};

} // namespace radishspread::internal

#endif
