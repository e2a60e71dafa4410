#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_FLOW_TABLE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_FLOW_TABLE_HPP

#include <radishspread/core/internal/rs_agent_flow.hpp>

#include <cstddef>
#include <unordered_map>

namespace radishspread::agent_internal {

/// The flows of an agent, by opening. The table has no limit of its own: the
/// agent compares `owned()` with the limit before it adds a flow.
class flow_table {
public:
    /// Adds a flow in the state `reserved` or `established`.
    flow_entry& add(flow_key const& key, flow_state state, instant now);

    [[nodiscard]] flow_entry* find(open_id opening);

    /// Reservation of the flow `key`, or null.
    [[nodiscard]] flow_entry* find_reservation(flow_key const& key);

    /// Flow that was handed over to the agent that issued `cookie`, or null.
    [[nodiscard]] flow_entry* find_moved(
        flow_key const& key, route_cookie const& cookie);

    /// Makes a reservation an established flow, after a packet with its cookie.
    void establish(flow_entry& it);
    /// Stops counting a reservation as load.
    void end_pending(flow_entry& it);
    void set_moved(flow_entry& it);
    void erase(open_id opening);

    /// Opening of the moved flow with the longest time since its last packet,
    /// or 0.
    [[nodiscard]] open_id oldest_moved() const;

    /// Flows whose request window this agent owns.
    [[nodiscard]] std::size_t owned() const { return rows_.size() - moved_; }
    [[nodiscard]] std::size_t moved() const { return moved_; }
    /// Reservations whose first request is expected soon.
    [[nodiscard]] std::size_t pending() const { return pending_; }

    [[nodiscard]] auto begin() { return rows_.begin(); }
    [[nodiscard]] auto end() { return rows_.end(); }

private:
    void remove_moved(flow_entry const& it);

    std::unordered_map<open_id, flow_entry> rows_;
    std::unordered_map<flow_key, open_id, flow_key_hash> reservations_;
    /// Newest moved flow of each key.
    std::unordered_map<flow_key, open_id, flow_key_hash> moved_by_key_;
    std::size_t moved_ = 0;
    std::size_t pending_ = 0;
    open_id last_opening_ = 0;
};

} // namespace radishspread::agent_internal

#endif
