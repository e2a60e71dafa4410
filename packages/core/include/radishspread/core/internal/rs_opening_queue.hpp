#ifndef RADISHSPREAD_CORE_INTERNAL_RS_OPENING_QUEUE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_OPENING_QUEUE_HPP

#include <radishspread/core/internal/rs_opening_cost.hpp>
#include <radishspread/core/rs_agent_packet.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_flow_packet.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace radishspread::internal {

/// An opening, or a request on an open flow, that waits for a free slot of the
/// backend server.
struct queued_opening {
    endpoint balancer;    ///< Receives the result.
    agent_packet message; ///< Its `packet` is unset.
    std::vector<std::byte> packet;
    instant queued_at;
    opening_cost cost;
    /// Of a request on an open flow; its `bytes` are unset. Such a request can
    /// wait or be dropped, but not refused.
    std::optional<flow_packet> request;
};

/// Result of `opening_queue::push`.
struct push_result {
    bool is_queued = false;
    /// Its client account had more than its share of the places.
    bool is_over_share = false;
    /// Opening that had to give up its place in a full queue.
    std::optional<queued_opening> displaced;
};

/// Queue of openings at an agent whose backend server has no free slot.
///
/// Designed for short overload: after an outage, or in a burst, more openings
/// arrive for some seconds than the slots can take. First-in-first-out order
/// would make all of them late, and immediate refusal would let callers use up
/// their retries within milliseconds. The opening whose delay costs callers
/// most for the time that it takes is served first, see `is_served_before`. An
/// opening that could not be served before its caller gives up is not queued,
/// and is returned as soon as more valuable ones take its turn.
///
/// A client account whose openings take more than an equal share of the places
/// is served after others of the same priority and work, so that it cannot make
/// all callers wait.
class opening_queue {
public:
    /// Callers abandon an opening `opening_age_limit` after its first copy.
    explicit opening_queue(duration opening_age_limit)
        : opening_age_limit_(opening_age_limit) {}

    /// Queues the opening unless it would expire before its turn, or the queue
    /// is full of openings that are served before it. The backend server has
    /// `slots` slots.
    push_result push(instant now, queued_opening opening, std::size_t slots);

    /// The opening to be served next, or null.
    [[nodiscard]] queued_opening const* next(instant now) const;

    /// Removes and returns the opening of `next`. Empty if the queue is empty.
    std::optional<queued_opening> pop(instant now);

    /// Removes and returns an opening that its caller has abandoned, if any.
    std::optional<queued_opening> pop_expired(instant now);

    /// Removes and returns the openings whose turn would come far after their
    /// callers have abandoned them.
    std::vector<queued_opening> take_hopeless(instant now, std::size_t slots);

    [[nodiscard]] bool contains(packet_flow const& flow) const;
    /// True if an opening that is more urgent than `priority` waits and no
    /// other agent of its service has room for it.
    [[nodiscard]] bool must_precede(std::uint8_t priority) const;
    /// Removes the request on the open flow, if one waits.
    void remove_request(packet_flow const& flow);
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }
    /// Openings that are at least as urgent as `priority`.
    [[nodiscard]] std::size_t count_urgent(std::uint8_t priority) const;

    static constexpr std::size_t max_size = 512;
    /// Openings of more urgent priorities that are served in a row while one of
    /// the least urgent priority waits. Bounds how long it is starved.
    static constexpr unsigned max_overtakes = 16;
    /// Openings of one client account that may wait at least, whatever its
    /// share: a host sends some at once without being greedy.
    static constexpr std::size_t min_share = 4;

private:
    using position = std::vector<queued_opening>::const_iterator;

    /// Position of the opening to be served next, in a queue that has some.
    [[nodiscard]] position select(instant now) const;
    [[nodiscard]] std::uint8_t least_urgent() const;
    /// True if another opening of the account would exceed its share.
    [[nodiscard]] bool has_full_share(std::uint32_t account) const;
    /// Time until a slot is free for the opening.
    [[nodiscard]] duration wait_of(
        instant now, opening_cost const& cost, std::size_t slots) const;
    [[nodiscard]] bool is_too_late(
        instant now, opening_cost const& cost, duration wait) const {
        return now - cost.first_sent_at + wait >= opening_age_limit_;
    }
    std::optional<queued_opening> take(position it);

    duration opening_age_limit_;
    std::vector<queued_opening> waiting_;
    unsigned overtakes_ = 0;
};

} // namespace radishspread::internal

#endif
