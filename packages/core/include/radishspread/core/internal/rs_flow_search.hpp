#ifndef RADISHSPREAD_CORE_INTERNAL_RS_FLOW_SEARCH_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_FLOW_SEARCH_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>

namespace radishspread::internal {

/// A search for the agent that holds a flow. It ends when one says so; it has
/// failed when all say that their backend servers do not hold it, and say so
/// again after a read of the configuration that began later, since a backend
/// server that this process has not heard of may hold it.
struct flow_search {
    std::uint32_t service = 0;
    instant started;
    instant denied_at; ///< All agents asked first denied it; default: not yet.
    std::uint32_t acknowledged = 0; ///< Of the caller's packet.
    boost::container::small_vector<endpoint, 16> unanswered;
    boost::container::small_vector<std::byte, 64> packet;

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
