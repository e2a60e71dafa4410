#ifndef RADISHSPREAD_CORE_INTERNAL_RS_REASSIGNED_LISTS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_REASSIGNED_LISTS_HPP

#include <radishspread/core/internal/rs_agent_of_service.hpp>
#include <radishspread/core/rs_agent_packet.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace radishspread::internal {

/// What the last list of an agent says about a flow.
enum class list_finding : std::uint8_t {
    none,      ///< No list covers the flow.
    absent,    ///< The backend server does not hold the flow.
    possible,  ///< It may hold the flow; the agent knows.
    uncertain, ///< Only a packet of the flow can show whether it does.
};

/// The agents' last lists of reassigned flows: flows of their backend servers
/// whose routes name another service by now. One list serves all searches, so
/// its size does not depend on their number.
class reassigned_lists {
public:
    /// Starts a request for lists under these routes; returns its number, which
    /// is not 0. Lists under other routes no longer count.
    std::uint32_t start_request(std::uint64_t route_version);

    /// Records that the agent was sent the current request.
    void request_sent() { ++unanswered_; }

    /// Records a `listed` reply; false if it is outdated or a duplicate.
    bool record(endpoint agent, agent_packet const& reply);

    /// Finding about the flow with this hash, from a list that was requested by
    /// request `first` or later, under the routes `route_version`.
    [[nodiscard]] list_finding find(agent_of_service const& agent,
        std::uint64_t flow_hash, std::uint32_t first,
        std::uint64_t route_version) const;

    /// True unless the agent's last list shows that its backend server holds
    /// none of the flows searched for up to request `newest`.
    [[nodiscard]] bool needs_list(
        agent_of_service const& agent, std::uint32_t newest) const;

    /// True if all agents that were sent the current request have replied.
    [[nodiscard]] bool is_answered() const { return unanswered_ == 0; }

    void clear() { lists_.clear(); }

private:
    struct list {
        std::uint32_t number = 0; ///< Of the request.
        bool is_uncertain = false;
        bool is_too_long = false;
        std::vector<std::uint64_t> flows; ///< Hashes, sorted.
    };

    std::map<agent_of_service, list> lists_;
    std::uint64_t route_version_ = 0;
    std::uint32_t number_ = 0;       ///< Of the current request.
    std::uint32_t first_number_ = 0; ///< First request under these routes.
    std::size_t unanswered_ = 0;     ///< Replies due to the current request.
};

} // namespace radishspread::internal

#endif
