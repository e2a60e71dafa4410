#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_DECISIONS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_HANDOVER_DECISIONS_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_reason.hpp>
#include <radishspread/core/rs_route_cookie.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <tuple>

namespace radishspread::agent_internal {

/// Identity of a handover: incarnation of the source agent and opening there.
struct handover_key {
    incarnation_id incarnation = 0;
    open_id opening = 0;

    friend bool operator==(handover_key const&, handover_key const&) = default;
    friend bool operator<(handover_key const& a, handover_key const& b) {
        return std::tie(a.incarnation, a.opening) <
               std::tie(b.incarnation, b.opening);
    }
};

/// Result of a received handover.
struct handover_decision {
    std::optional<route_cookie> cookie; ///< Empty if it was refused.
    radishspread::reason reason = radishspread::reason::none;
};

/// Decisions on received handovers. Each copy of a handover must get the same
/// reply. Otherwise a copy that arrives after the flow ended here, or after a
/// refusal, would create a second owner of the flow's request window.
class handover_decision_table {
public:
    /// Longest time that a copy of a handover may be in transit.
    static constexpr duration lifetime = std::chrono::minutes(10);

    [[nodiscard]] handover_decision const* find(handover_key key) const;
    void add(instant now, handover_key key, handover_decision decision);
    void expire(instant now);
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

private:
    struct added_entry {
        instant added;
        handover_key key;
    };

    std::map<handover_key, handover_decision> rows_;
    std::deque<added_entry> expiry_order_; ///< Oldest first.
};

} // namespace radishspread::agent_internal

#endif
