#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_SEARCH_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_SEARCH_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishspread {

template <packet_sink Sink>
void packet_balancer::search_for_holder(
    instant now, flow_packet const& packet, std::uint32_t service, Sink& sink) {
    auto const flow = packet.from_caller();
    auto const [found, is_new] = searches_.try_emplace(flow);
    auto& search = found->second;
    search.retain(packet);
    search.last_caller_packet_at = now;
    search.packet_sent_to.clear();
    if (!is_new)
        return;
    search.service = service;
    search.started_at = now;
    if (searches_.size() < options_.min_searches_for_lists)
        return query_agents(now, flow, search, sink);
    search.next_query_at =
        std::max(now, last_list_at_ + options_.list_interval);
}

template <packet_sink Sink>
void packet_balancer::send_search_message(
    instant now, endpoint agent, agent_packet const& message, Sink& sink) {
    search_budget_.take(now, message_overhead + message.packet.size());
    sink.send(agent, message);
}

// Queries do not contain the packet: for a service with many agents behind a
// slow link, it would delay the flows that are found.
template <packet_sink Sink>
void packet_balancer::query_agents(instant now, packet_flow const& flow,
    internal::flow_search& search, Sink& sink) {
    using internal::search_stage;
    constexpr unsigned max_backoff_factor = 4;
    search.next_query_at =
        now + options_.search_interval * search.backoff_factor;
    if (!search_budget_.has_left(now))
        return;
    auto queried = query_stage(now, flow, search, sink);
    if (queried == 0 && search.stage == search_stage::local) {
        search.stage = search_stage::all;
        queried = query_stage(now, flow, search, sink);
    }
    if (search.stage == search_stage::all && search.queried_all_at == instant{})
        search.queried_all_at = now;
    if (search.stage == search_stage::local)
        search.next_query_at =
            now + (search.packet_sent_to.empty() ? options_.stage_timeout
                                                 : options_.local_probe_period);
    else
        search.backoff_factor =
            std::min(search.backoff_factor * 2, max_backoff_factor);
    sink.log({.number = packet_event::flow_searched,
        .flow = flow,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(queried)});
}

template <packet_sink Sink>
void packet_balancer::query_agent(instant now,
    internal::agent_of_service const& to, packet_flow const& flow,
    internal::flow_search const& search, Sink& sink) {
    if (!search_budget_.has_left(now))
        return;
    send_search_message(now, to.agent,
        {.kind = agent_packet_kind::locate,
            .must_reply = true,
            .service = to.service,
            .route_version = view_.route_version(),
            .handshake = search.acknowledged,
            .flow = flow},
        sink);
}

template <packet_sink Sink>
std::size_t packet_balancer::query_stage(instant now, packet_flow const& flow,
    internal::flow_search& search, Sink& sink) {
    bool const queries_all = search.stage == internal::search_stage::all;
    agent_packet const message{.kind = agent_packet_kind::locate,
        .must_reply = queries_all,
        .service = search.service,
        .route_version = view_.route_version(),
        .handshake = search.acknowledged,
        .flow = flow};
    boost::container::small_vector<endpoint, 16> queried;
    for (auto const* member : view_.members_of(search.service)) {
        auto const agent = agent_of(*member);
        bool const is_in_stage =
            queries_all || member->domain == options_.domain;
        internal::agent_of_service const to{
            .agent = agent, .service = search.service};
        if (!is_in_stage || search.was_rejected_by(to) ||
            std::find(queried.begin(), queried.end(), agent) != queried.end())
            continue;
        queried.push_back(agent);
        if (loads_.is_uncertain(now, agent)) {
            send_probe_packet(now, to, flow, search, sink);
            continue;
        }
        if (queries_all)
            loads_.request_sent(now, agent);
        send_search_message(now, agent, message, sink);
    }
    return queried.size();
}

template <packet_sink Sink>
void packet_balancer::end_search(packet_flow const& flow,
    internal::agent_of_service const& holder, Sink& sink) {
    auto const found = searches_.find(flow);
    if (found == searches_.end())
        return;
    auto& search = found->second;
    for (auto const& packet : search.retained)
        sink.send(holder.agent, {.kind = agent_packet_kind::forward,
                                    .service = holder.service,
                                    .route_version = view_.route_version(),
                                    .flow = flow,
                                    .packet = packet});
    searches_.erase(found);
}

template <packet_sink Sink>
void packet_balancer::on_rejected(instant now,
    internal::agent_of_service const& from, packet_flow const& flow,
    Sink& sink) {
    auto const found = searches_.find(flow);
    if (found == searches_.end() || found->second.was_rejected_by(from))
        return;
    auto& search = found->second;
    search.rejected_by.insert(from);
    if (reset_if_not_found(now, flow, search, sink))
        searches_.erase(found);
}

// A reset saves the caller from waiting for its timeout.
template <packet_sink Sink>
bool packet_balancer::reset_if_not_found(instant now, packet_flow const& flow,
    internal::flow_search& search, Sink& sink) {
    if (!is_rejected_by_service(now, search))
        return false;
    if (search.rejected_at == instant{})
        search.rejected_at = now;
    if (!search.queries_other_services)
        query_other_services(now, search);
    if (!search.is_confirmed) {
        if (!view_.is_settling(now) && !std::exchange(search.awaits_read, true))
            sink.refresh_members();
        return false;
    }
    if (!is_rejected_by_other_services(now, flow, search))
        return false;
    sink.log({.number = packet_event::flow_reset,
        .flow = flow,
        .why = refusal::not_held,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(search.rejected_by.size()),
        .age_ms = (now - search.rejected_at) / std::chrono::milliseconds(1)});
    sink.reset_caller(flow, search.acknowledged);
    return true;
}

// The holder of a flow that was open when the search started had been announced
// by then, so a read that began later includes it. Agents that the read has
// added are queried next. A service that was restored from a backup may lack it
// until it has been announced again.
template <packet_sink Sink>
void packet_balancer::confirm_rejections(
    instant now, instant read_started, Sink& sink) {
    bool const is_conclusive = !view_.is_settling(read_started);
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, search] = *entry;
        bool const is_later =
            !search.is_confirmed && search.started_at < read_started;
        // A later read is requested once the items are complete again.
        if (is_later && !is_conclusive)
            search.awaits_read = false;
        bool const is_newer = is_later && is_conclusive;
        search.is_confirmed = search.is_confirmed || is_newer;
        bool const is_over =
            is_newer && reset_if_not_found(now, flow, search, sink);
        if (is_newer && search.rejected_at != instant{} && !is_over)
            search.next_query_at = now;
        entry = is_over ? searches_.erase(entry) : std::next(entry);
    }
}

// Queries again all agents that have not rejected the flow.
template <packet_sink Sink>
void packet_balancer::continue_searches(instant now, Sink& sink) {
    bool const uses_lists = searches_.size() >= options_.min_searches_for_lists;
    bool is_any_due = false;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, search] = *entry;
        bool const is_due = now >= search.next_query_at;
        bool const is_over =
            is_due && reset_if_not_found(now, flow, search, sink);
        if (is_due && !is_over) {
            is_any_due = true;
            // Agents of the service that do not reply must not delay the
            // others.
            if (search.queries_other_services ||
                now - search.started_at >= options_.search_interval)
                query_other_services(now, search);
        }
        if (is_due && !is_over && !uses_lists) {
            search.stage = internal::search_stage::all;
            query_agents(now, flow, search, sink);
        }
        entry = is_over ? searches_.erase(entry) : std::next(entry);
    }
    if (uses_lists && is_any_due)
        request_lists(now, sink);
    if (now >= reassigned_list_due_)
        request_reassigned_lists(now, sink);
}

// Only the backend server knows whether it holds the flow; the agent passes one
// packet of the flow to it.
template <packet_sink Sink>
void packet_balancer::send_probe_packet(instant now,
    internal::agent_of_service const& to, packet_flow const& flow,
    internal::flow_search& search, Sink& sink) {
    if (search.retained.empty() || search.packet_sent_to.contains(to.agent) ||
        !search_budget_.has_left(now))
        return;
    search.packet_sent_to.insert(to.agent);
    search.packet_sent_at = now;
    send_search_message(now, to.agent,
        {.kind = agent_packet_kind::locate,
            .service = to.service,
            .route_version = view_.route_version(),
            .handshake = search.acknowledged,
            .flow = flow,
            .packet = search.retained.back()},
        sink);
}

template <packet_sink Sink>
void packet_balancer::on_not_held(instant now, endpoint from,
    agent_packet const& message, flow_packet const* packet, Sink& sink) {
    internal::agent_of_service const sender{
        .agent = from, .service = message.service};
    loads_.reply_received(now, from);
    if (message.is_uncertain) {
        loads_.certainty_reported(now, from, true);
        auto const found = searches_.find(message.flow);
        if (found != searches_.end())
            send_probe_packet(now, sender, message.flow, found->second, sink);
        return;
    }
    if (message.is_locate_reply)
        return on_rejected(now, sender, message.flow, sink);
    auto const it = flows_.find(message.flow);
    if (it != flows_.end() && it->second.holder.agent == from)
        flows_.erase(it);
    auto const service = view_.service_of(message.flow.service);
    if (packet != nullptr && service != 0)
        search_for_holder(now, *packet, service, sink);
}

} // namespace radishspread

#endif
