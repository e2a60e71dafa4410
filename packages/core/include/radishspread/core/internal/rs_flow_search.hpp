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
    near, ///< Agents of the balancer's failure domain: the holder answers.
    all,  ///< All agents: each answers, and those unsure get the packet.
};

/// A search for the agent that holds a flow. It ends when one says so; it has
/// failed when all have denied it, those included that a later read of the
/// configuration adds. A denial is final: the flow was open before the
/// question, and an open flow never moves.
struct flow_search {
    std::uint32_t service = 0;
    search_stage stage = search_stage::near;
    instant begun;
    instant started;  ///< Last packet of the caller.
    instant next_ask; ///< Of those that have not denied the flow.
    unsigned repeat_factor = 1;
    std::uint32_t first_list = 0; ///< Lists from this one on cover it; 0: none.
    instant asked_all_at; ///< First question to all agents; default: not yet.
    instant denied_at; ///< All agents known denied it first; default: not yet.
    bool awaits_read = false;  ///< Denied before a read has confirmed it.
    bool is_confirmed = false; ///< A read that began after `begun` has ended.
    std::uint32_t acknowledged = 0; ///< Of the caller's last packet.
    boost::container::small_vector<endpoint, 16> denied;
    /// Agents that got the caller's last packet.
    boost::container::small_vector<endpoint, 16> tried;
    /// Packets that arrived meanwhile, the oldest first.
    std::vector<std::vector<std::byte>> kept;

    static constexpr std::size_t max_kept = 4;

    void keep(flow_packet const& packet) {
        acknowledged = packet.acknowledged;
        if (kept.size() == max_kept)
            kept.erase(kept.begin());
        kept.emplace_back(packet.bytes.begin(), packet.bytes.end());
    }

    /// True if the answer to the question of that number covers the flow.
    [[nodiscard]] bool is_in_list(std::uint32_t number) const {
        return first_list != 0 && number >= first_list;
    }

    [[nodiscard]] bool was_denied_by(endpoint agent) const {
        return std::find(denied.begin(), denied.end(), agent) != denied.end();
    }
};

} // namespace radishspread::internal

#endif
