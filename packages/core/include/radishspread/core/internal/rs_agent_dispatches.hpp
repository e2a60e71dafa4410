#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_DISPATCHES_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_DISPATCHES_HPP

#include <radishspread/core/internal/rs_agent_queue.hpp>
#include <radishspread/core/rs_backend_request.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace radishspread::agent_internal {

/// A request that was sent to the backend server and has not ended.
struct dispatched_request {
    dispatch_id id = 0;
    std::uint64_t connection = 0;
    instant sent;
    queued_request request; ///< Without payload unless idempotent.
};

/// Requests outstanding at the backend server; each one occupies a slot.
class dispatch_table {
public:
    dispatched_request& add(
        instant now, std::uint64_t connection, queued_request request);

    /// Removes and returns a dispatch, or nothing if it has ended before.
    [[nodiscard]] std::optional<dispatched_request> take(dispatch_id id);

    [[nodiscard]] dispatched_request const* find(request_key key) const;
    [[nodiscard]] std::vector<dispatch_id> on_connection(
        std::uint64_t connection) const;
    [[nodiscard]] std::vector<dispatch_id> expired(instant now) const;
    [[nodiscard]] std::vector<dispatch_id> of_flow(open_id opening) const;
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

private:
    std::unordered_map<dispatch_id, dispatched_request> rows_;
    dispatch_id last_id_ = 0;
};

} // namespace radishspread::agent_internal

#endif
