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

/// Stages of a search; each waits a little for an answer to the one before.
enum class search_stage : std::uint8_t {
    near,  ///< Agents of the balancer's failure domain, without the packet.
    far,   ///< All other agents, without the packet.
    tried, ///< All agents, with the packet: restarted ones have to try it.
};

/// The stage after `it`, which must not be the last.
constexpr search_stage next(search_stage it) {
    return static_cast<search_stage>(static_cast<std::uint8_t>(it) + 1);
}

/// A search for the agent that holds a flow. It ends when one says so; it has
/// failed when all say that their backend servers do not hold it, and say so
/// again after a read of the configuration that began later, since a backend
/// server that this process has not heard of may hold it.
struct flow_search {
    std::uint32_t service = 0;
    search_stage stage = search_stage::near;
    instant started;
    instant next_stage; ///< `instant::max()` after the last one.
    instant repeat;     ///< Earliest time at which a packet starts it again.
    unsigned repeat_factor = 1;
    instant denied_at; ///< All agents asked first denied it; default: not yet.
    bool is_confirmed = false;      ///< A read that began after that has ended.
    bool is_final = false;          ///< Agents were last asked after that read.
    std::uint32_t acknowledged = 0; ///< Of the caller's last packet.
    boost::container::small_vector<endpoint, 16> unanswered;
    /// Packets that arrived meanwhile, the oldest first.
    std::vector<std::vector<std::byte>> kept;

    static constexpr std::size_t max_kept = 4;

    void keep(flow_packet const& packet) {
        acknowledged = packet.acknowledged;
        if (kept.size() == max_kept)
            kept.erase(kept.begin());
        kept.emplace_back(packet.bytes.begin(), packet.bytes.end());
    }

    /// The agent denies the flow. True if it was the last one to answer.
    bool deny(endpoint agent) {
        auto const it = std::find(unanswered.begin(), unanswered.end(), agent);
        if (it == unanswered.end())
            return false;
        unanswered.erase(it);
        return unanswered.empty();
    }
};

} // namespace radishspread::internal

#endif
