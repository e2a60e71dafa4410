#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_QUEUE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_QUEUE_HPP

#include <radishspread/core/internal/rs_agent_request_key.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/core/rs_trace_context.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace radishspread::agent_internal {

/// A request that waits for its first dispatch or for a retry.
struct queued_request {
    request_key key;
    instant deadline;
    bool idempotent = false;
    bool was_dispatched = false; ///< An earlier dispatch may have run.
    trace_context trace;
    std::vector<std::byte> payload; ///< At most `max_payload` bytes.
};

/// Requests that wait for a slot, in order of arrival except that retries are
/// added at the front. The queue has no limit of its own: the agent checks the
/// size before it adds a request.
class request_queue {
public:
    void push_back(queued_request it);
    void push_front(queued_request it);
    [[nodiscard]] queued_request pop_front();

    /// Removes and returns the request `key`, if it is in the queue.
    std::optional<queued_request> take(request_key key);

    /// Removes and returns a request whose deadline is not after `now`.
    [[nodiscard]] std::optional<queued_request> pop_expired(instant now);

    [[nodiscard]] std::size_t size() const { return rows_.size(); }
    [[nodiscard]] bool empty() const { return rows_.empty(); }

private:
    template <class Predicate>
    std::optional<queued_request> take_first(Predicate matches);

    std::deque<queued_request> rows_;
};

} // namespace radishspread::agent_internal

#endif
