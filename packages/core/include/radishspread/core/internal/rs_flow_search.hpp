#ifndef RADISHSPREAD_CORE_INTERNAL_RS_FLOW_SEARCH_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_FLOW_SEARCH_HPP

#include <radishspread/core/internal/rs_agent_of_service.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_flow_packet.hpp>
#include <radishspread/core/rs_time.hpp>

#include <boost/container/flat_set.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace radishspread::internal {

/// Stages of a search. The first ends after a short timeout.
enum class search_stage : std::uint8_t {
    local, ///< Agents of the own failure domain; only the holder replies.
    all,   ///< All agents must reply; an uncertain one is sent the packet.
};

/// A search for the agent that holds a flow. The flow is found when an agent
/// confirms that it holds it, and not found when all agents have replied
/// `not_held`, including those that a later read of the configuration adds. A
/// `not_held` reply is final: the flow was open before the query, and an open
/// flow never moves.
///
/// The agents of the service that the flow's route names are queried first.
/// Those of the other services follow, since the route may have named another
/// service when the flow was opened.
struct flow_search {
    std::uint32_t service = 0; ///< That the flow's route names.
    search_stage stage = search_stage::local;
    instant started_at;
    instant last_caller_packet_at;
    instant next_query_at; ///< To agents without a `not_held` reply.
    unsigned backoff_factor = 1;
    /// First request for lists that covers the search; 0: none.
    std::uint32_t first_list_number = 0;
    instant queried_all_at; ///< First query to all agents; default: not yet.
    /// Time at which all known agents of the service had first rejected it;
    /// default: not yet.
    instant rejected_at;
    bool queries_other_services = false;
    /// First request for lists of reassigned flows that covers the search; 0:
    /// none.
    std::uint32_t first_reassigned_list = 0;
    instant reassigned_listed_at; ///< Time of that request.
    bool awaits_read = false;     ///< Rejected by all; a read must confirm it.
    bool is_confirmed = false; ///< A read begun after `started_at` has ended.
    /// Acknowledgment number of the caller's last packet.
    std::uint32_t acknowledged = 0;
    boost::container::flat_set<agent_of_service> rejected_by;
    /// Agents that were sent the caller's last packet.
    boost::container::flat_set<endpoint> packet_sent_to;
    instant packet_sent_at; ///< To any agent.
    /// Packets received during the search, oldest first.
    std::vector<std::vector<std::byte>> retained;

    static constexpr std::size_t max_retained = 4;

    void retain(flow_packet const& packet) {
        acknowledged = packet.acknowledged;
        if (retained.size() == max_retained)
            retained.erase(retained.begin());
        retained.emplace_back(packet.bytes.begin(), packet.bytes.end());
    }

    /// Queries the agents of another service first from now on, which the
    /// flow's route names by now. Earlier replies stay valid.
    void restart_at(instant now, std::uint32_t new_service) {
        service = new_service;
        stage = search_stage::all;
        next_query_at = now;
        queried_all_at = {};
        rejected_at = {};
    }

    /// True if the reply to the list request with this number covers the flow:
    /// the request was sent after the search started.
    [[nodiscard]] bool is_covered_by_list(std::uint32_t number) const {
        return first_list_number != 0 && number >= first_list_number;
    }

    [[nodiscard]] bool was_rejected_by(agent_of_service const& it) const {
        return rejected_by.contains(it);
    }

    /// True if the agent has neither rejected the flow nor been sent a packet,
    /// to which it replies.
    [[nodiscard]] bool needs_query(agent_of_service const& it) const {
        return !was_rejected_by(it) && !packet_sent_to.contains(it.agent);
    }
};

} // namespace radishspread::internal

#endif
