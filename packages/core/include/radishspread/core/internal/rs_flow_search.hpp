#ifndef RADISHSPREAD_CORE_INTERNAL_RS_FLOW_SEARCH_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_FLOW_SEARCH_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_flow_packet.hpp>
#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace radishspread::internal {

/// Stages of a search; the first waits a little for an answer.
enum class search_stage : std::uint8_t {
    local, ///< Agents of the balancer's failure domain: the holder answers.
    all,  ///< All agents: each answers, and those unsure get the packet.
};

/// A search for the agent that holds a flow. It ends when one says so; it has
/// failed when all have denied it, those included that a later read of the
/// configuration adds. A denial is final: the flow was open before the
/// question, and an open flow never moves.
struct flow_search {
    std::uint32_t service = 0;
    search_stage stage = search_stage::local;
    instant started_at;
    instant last_caller_packet_at;  ///< Last packet of the caller.
    instant next_query_at; ///< Of those that have not denied the flow.
    unsigned backoff_factor = 1;
    std::uint32_t first_list_number = 0; ///< Lists from this one on cover it; 0: none.
    instant queried_all_at; ///< First question to all agents; default: not yet.
    instant rejected_at; ///< All agents known denied it first; default: not yet.
    bool awaits_read = false;  ///< Denied before a read has confirmed it.
    bool is_confirmed = false; ///< A read that began after `begun` has ended.
    std::uint32_t acknowledged = 0; ///< Of the caller's last packet.
    boost::container::small_vector<endpoint, 16> rejected_by;
    /// Agents that got the caller's last packet.
    boost::container::small_vector<endpoint, 16> packet_sent_to;
    /// Packets that arrived meanwhile, the oldest first.
    std::vector<std::vector<std::byte>> retained;

    static constexpr std::size_t max_retained = 4;

    void retain(flow_packet const& packet) {
        acknowledged = packet.acknowledged;
        if (retained.size() == max_retained)
            retained.erase(retained.begin());
        retained.emplace_back(packet.bytes.begin(), packet.bytes.end());
    }

    /// True if the answer to the question of that number covers the flow.
    [[nodiscard]] bool is_covered_by_list(std::uint32_t number) const {
        return first_list_number != 0 && number >= first_list_number;
    }

    [[nodiscard]] bool was_rejected_by(endpoint agent) const {
        return std::find(rejected_by.begin(), rejected_by.end(), agent) != rejected_by.end();
    }
};

} // namespace radishspread::internal

#endif
