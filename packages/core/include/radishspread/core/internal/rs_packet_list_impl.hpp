#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_LIST_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_LIST_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

namespace radishspread {

// One request per agent serves many searches. After a power loss, or when a
// balancer joins, each flow would otherwise cost two messages for each agent of
// its service.
template <packet_sink Sink>
void packet_balancer::request_lists(instant now, Sink& sink) {
    last_list_at_ = now;
    ++list_number_;
    boost::container::small_vector<std::uint32_t, 8> services;
    for (auto& [flow, search] : searches_) {
        mark_list_requested(now, search);
        if (std::find(services.begin(), services.end(), search.service) ==
            services.end())
            services.push_back(search.service);
    }
    for (auto const service : services)
        request_lists_of(now, service, sink);
    sink.log({.number = packet_event::flows_listed,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(searches_.size())});
}

template <packet_sink Sink>
void packet_balancer::request_lists_of(
    instant now, std::uint32_t service, Sink& sink) {
    boost::container::flat_set<endpoint> agents;
    for (auto const* member : view_.members_of(service))
        agents.insert(agent_of(*member));
    for (auto const agent : agents) {
        if (loads_.is_uncertain(now, agent))
            probe_for_all_searches(now, service, agent, sink);
        if (!needs_list_of(now, service, agent))
            continue;
        loads_.request_sent(now, agent);
        send_search_message(now, agent,
            {.kind = agent_packet_kind::list,
                .service = service,
                .route_version = view_.route_version(),
                .handshake = list_number_},
            sink);
    }
}

// Only probes can tell whether the backend server of the agent holds the flows.
template <packet_sink Sink>
void packet_balancer::probe_for_all_searches(
    instant now, std::uint32_t service, endpoint agent, Sink& sink) {
    for (auto& [flow, search] : searches_)
        if (search.service == service &&
            search.needs_query({.agent = agent, .service = service}) &&
            may_probe(now, agent, search))
            send_probe_packet(
                now, {.agent = agent, .service = service}, flow, search, sink);
}

template <packet_sink Sink>
void packet_balancer::on_listed(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    loads_.reply_received(now, from);
    loads_.certainty_reported(now, from, message.is_uncertain);
    if (message.is_of_reassigned)
        return on_reassigned_listed(now, from, message, sink);
    internal::agent_of_service const sender{
        .agent = from, .service = message.service};
    auto const listed = decode_flow_list(message.packet);
    bool const is_too_long = message.why == refusal::overloaded;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, search] = *entry;
        bool is_over = false;
        if (search.service != message.service ||
            !search.is_covered_by_list(message.handshake) ||
            search.was_rejected_by(sender)) {
            // The list does not cover this search.
        } else if (is_too_long || std::binary_search(listed.begin(),
                                      listed.end(), hash_value(flow))) {
            query_agent(now, sender, flow, search, sink);
        } else if (message.is_uncertain) {
            if (may_probe(now, from, search))
                send_probe_packet(now, sender, flow, search, sink);
        } else {
            search.rejected_by.insert(sender);
            is_over = reset_if_not_found(now, flow, search, sink);
        }
        entry = is_over ? searches_.erase(entry) : std::next(entry);
    }
}

} // namespace radishspread

#endif
