#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_REASSIGNED_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_REASSIGNED_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>

namespace radishspread {

// Lists are requested even for a single search: their number does not grow with
// that of the searches, and they are short, since few flows are reassigned.
// When the limit of search messages is used up, the next request goes on with
// the member that follows.
template <packet_sink Sink>
void packet_balancer::request_reassigned_lists(instant now, Sink& sink) {
    reassigned_list_due_ = instant::max();
    bool const is_needed = std::any_of(searches_.begin(), searches_.end(),
        [](auto const& it) { return it.second.queries_other_services; });
    if (!is_needed)
        return;
    last_reassigned_list_at_ = now;
    auto const number = reassigned_.start_request(view_.route_version());
    auto const needed = join_reassigned_lists(now, number);
    std::size_t requests = 0;
    for (auto left = view_.members().size();
         left != 0 && search_budget_.has_left(now); --left) {
        auto const& member = *view_.next_member(reassigned_list_member_);
        internal::agent_of_service const to{
            .agent = agent_of(member), .service = member.service};
        if (to.service == needed.only_service ||
            needs_no_reply_of(now, member, {}))
            continue;
        if (loads_.is_uncertain(now, to.agent))
            probe_for_other_services(now, to, sink);
        if (!reassigned_.needs_list(to, needed.newest))
            continue;
        ++requests;
        reassigned_.request_sent();
        loads_.request_sent(now, to.agent);
        send_search_message(now, to.agent,
            {.kind = agent_packet_kind::list,
                .is_of_reassigned = true,
                .service = to.service,
                .route_version = view_.route_version(),
                .handshake = number},
            sink);
    }
    if (requests == 0)
        return;
    sink.log({.number = packet_event::other_services_queried,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(requests)});
}

// A packet goes to a backend server of another service only after all agents of
// the flow's own service have rejected it.
template <packet_sink Sink>
void packet_balancer::probe_for_other_services(
    instant now, internal::agent_of_service const& agent, Sink& sink) {
    for (auto& [flow, search] : searches_)
        if (search.rejected_at != instant{} &&
            search.service != agent.service && search.needs_query(agent))
            send_probe_packet(now, agent, flow, search, sink);
}

// Checking all agents again after each reply would take time that grows with
// the square of their number, so it is done after the last one and, if any is
// missing, when the searches are due.
template <packet_sink Sink>
void packet_balancer::on_reassigned_listed(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    using internal::list_finding;
    if (!reassigned_.record(from, message))
        return;
    internal::agent_of_service const sender{
        .agent = from, .service = message.service};
    if (message.is_uncertain)
        probe_for_other_services(now, sender, sink);
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, search] = *entry;
        bool const is_possible =
            search.service != sender.service &&
            !search.was_rejected_by(sender) &&
            reassigned_.find(sender, hash_value(flow),
                search.first_reassigned_list,
                view_.route_version()) == list_finding::possible;
        if (is_possible)
            query_agent(now, sender, flow, search, sink);
        bool const is_over = search.queries_other_services &&
                             reassigned_.is_answered() &&
                             reset_if_not_found(now, flow, search, sink);
        entry = is_over ? searches_.erase(entry) : std::next(entry);
    }
}

} // namespace radishspread

#endif
