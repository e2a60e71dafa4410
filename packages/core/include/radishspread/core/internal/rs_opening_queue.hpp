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
    endpoint balancer;    ///< To be told what becomes of it.
    agent_packet message; ///< Without its packet.
    std::vector<std::byte> packet;
    instant first_sent_at; ///< First copy of the caller.
    duration goal{0};      ///< Response time that serves the caller in full.
    std::uint8_t priority = 0; ///< 0 is the most urgent.
};

/// Openings at an agent whose backend server has no free slot.
///
/// Answers the load pattern of a backlog: after an outage, or in a burst, more
/// openings arrive for some seconds than the slots can take. In order of
/// arrival every one of them would be answered late; refused at once, callers
/// would use up their retries within milliseconds. Here those that can still
/// meet their goal go first, the most urgent and then the newest of them; the
/// others follow in the order in which their callers give up. An opening whose
/// turn would come too late is not queued.
class opening_queue {
public:
    /// Callers give up an opening `opening_age_limit` after its first copy.
    explicit opening_queue(duration opening_age_limit)
        : opening_age_limit_(opening_age_limit) {}

    /// False, and nothing is queued, if its turn would come too late: each
    /// turn takes `turn`, the mean time between two free slots.
    bool push(instant now, queued_opening opening, duration slot_interval);

    /// Removes and returns the opening to be served next; `service` is how long
    /// the backend server takes to respond. Empty if none is left.
    std::optional<queued_opening> pop(instant now, duration service);

    /// Removes and returns an opening that its caller has given up.
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
