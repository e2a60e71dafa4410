#include <radishspread/core/internal/rs_reassigned_lists.hpp>

#include <radishspread/core/rs_flow_list.hpp>

#include <algorithm>
#include <utility>

namespace radishspread::internal {

std::uint32_t reassigned_lists::start_request(std::uint64_t route_version) {
    ++number_;
    unanswered_ = 0;
    if (std::exchange(route_version_, route_version) != route_version) {
        lists_.clear();
        first_number_ = number_;
    }
    return number_;
}

bool reassigned_lists::record(endpoint agent, agent_packet const& reply) {
    if (reply.handshake < first_number_ || reply.handshake > number_)
        return false;
    auto& it = lists_[{.agent = agent, .service = reply.service}];
    if (reply.handshake <= it.number)
        return false;
    it = {.number = reply.handshake,
        .is_uncertain = reply.is_uncertain,
        .is_too_long = reply.why == refusal::overloaded,
        .flows = decode_flow_list(reply.packet)};
    if (reply.handshake == number_ && unanswered_ > 0)
        --unanswered_;
    return true;
}

list_finding reassigned_lists::find(agent_of_service const& agent,
    std::uint64_t flow_hash, std::uint32_t first,
    std::uint64_t route_version) const {
    auto const found = lists_.find(agent);
    if (found == lists_.end() || first == 0 || found->second.number < first ||
        route_version != route_version_)
        return list_finding::none;
    auto const& it = found->second;
    if (it.is_too_long ||
        std::binary_search(it.flows.begin(), it.flows.end(), flow_hash))
        return list_finding::possible;
    return it.is_uncertain ? list_finding::uncertain : list_finding::absent;
}

bool reassigned_lists::needs_list(
    agent_of_service const& agent, std::uint32_t newest) const {
    auto const found = lists_.find(agent);
    if (found == lists_.end() || found->second.number < newest)
        return true;
    auto const& it = found->second;
    return it.is_uncertain || it.is_too_long || !it.flows.empty();
}

} // namespace radishspread::internal
