#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_SEARCH_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_SEARCH_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishspread {

template <packet_sink Sink>
void packet_balancer::search(
    instant now, flow_packet const& packet, std::uint32_t service, Sink& sink) {
    auto const flow = packet.from_caller();
    auto const [found, is_new] = searches_.try_emplace(flow);
    auto& it = found->second;
    it.keep(packet);
    it.service = service;
    it.started = now;
    it.tried.clear();
    if (!is_new)
        return;
    it.begun = now;
    if (searches_.size() < options_.min_listed_searches)
        return ask(now, flow, it, sink);
    it.next_ask = std::max(now, last_list_at_ + options_.list_interval);
}

// Questions leave the packet out: with a large service and a narrow link it
// would delay the flows that are found.
template <packet_sink Sink>
void packet_balancer::ask(instant now, packet_flow const& flow,
    internal::flow_search& it, Sink& sink) {
    using internal::search_stage;
    constexpr unsigned max_repeat_factor = 4;
    it.next_ask = now + options_.search_interval * it.repeat_factor;
    if (search_rate_.count(now) >= options_.max_search_datagrams)
        return;
    auto asked = ask_stage(now, flow, it, sink);
    if (asked == 0 && it.stage == search_stage::near) {
        it.stage = search_stage::all;
        asked = ask_stage(now, flow, it, sink);
    }
    if (it.stage == search_stage::all && it.asked_all_at == instant{})
        it.asked_all_at = now;
    if (it.stage == search_stage::near)
        it.next_ask = now + options_.stage_limit;
    else
        it.repeat_factor = std::min(it.repeat_factor * 2, max_repeat_factor);
    sink.log({.number = packet_event::flow_searched,
        .flow = flow,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(asked)});
}

template <packet_sink Sink>
void packet_balancer::ask_one(instant now, endpoint agent,
    packet_flow const& flow, internal::flow_search const& it, Sink& sink) {
    if (search_rate_.count(now) >= options_.max_search_datagrams)
        return;
    search_rate_.add(now);
    sink.send(agent, {.kind = agent_packet_kind::locate,
                         .must_reply = true,
                         .service = it.service,
                         .route_version = view_.route_version(),
                         .handshake = it.acknowledged,
                         .flow = flow});
}

template <packet_sink Sink>
std::size_t packet_balancer::ask_stage(instant now, packet_flow const& flow,
    internal::flow_search& it, Sink& sink) {
    bool const asks_all = it.stage == internal::search_stage::all;
    agent_packet const message{.kind = agent_packet_kind::locate,
        .must_reply = asks_all,
        .service = it.service,
        .route_version = view_.route_version(),
        .handshake = it.acknowledged,
        .flow = flow};
    boost::container::small_vector<endpoint, 16> asked;
    for (auto const* member : view_.members_of(it.service)) {
        auto const agent = agent_of(*member);
        bool const is_in_stage = asks_all || member->domain == options_.domain;
        if (!is_in_stage || it.was_denied_by(agent) ||
            std::find(asked.begin(), asked.end(), agent) != asked.end())
            continue;
        asked.push_back(agent);
        search_rate_.add(now);
        if (asks_all)
            loads_.asked(now, agent);
        sink.send(agent, message);
    }
    return asked.size();
}

template <packet_sink Sink>
void packet_balancer::end_search(
    packet_flow const& flow, endpoint holder, Sink& sink) {
    auto const found = searches_.find(flow);
    if (found == searches_.end())
        return;
    auto& it = found->second;
    for (auto const& packet : it.kept)
        sink.send(holder, {.kind = agent_packet_kind::forward,
                              .service = it.service,
                              .route_version = view_.route_version(),
                              .flow = flow,
                              .packet = packet});
    searches_.erase(found);
}

template <packet_sink Sink>
void packet_balancer::on_denied(
    instant now, endpoint from, packet_flow const& flow, Sink& sink) {
    auto const found = searches_.find(flow);
    if (found == searches_.end() || found->second.was_denied_by(from))
        return;
    auto& it = found->second;
    it.denied.push_back(from);
    if (settle(now, flow, it, sink))
        searches_.erase(found);
}

// A reset spares the caller the wait for its timeout.
template <packet_sink Sink>
bool packet_balancer::settle(instant now, packet_flow const& flow,
    internal::flow_search& it, Sink& sink) {
    if (it.denied.empty() || !is_denied_by_all(now, it))
        return false;
    if (it.denied_at == instant{})
        it.denied_at = now;
    if (!it.is_confirmed) {
        if (!std::exchange(it.awaits_read, true))
            sink.refresh_members();
        return false;
    }
    sink.log({.number = packet_event::flow_reset,
        .flow = flow,
        .why = refusal::not_held,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(it.denied.size()),
        .age_ms = (now - it.denied_at) / std::chrono::milliseconds(1)});
    sink.reset_caller(flow, it.acknowledged);
    return true;
}

// The holder of a flow that was open when the search began was announced before
// that, so a read that began later knows it. Agents that the read has added are
// still to be asked.
template <packet_sink Sink>
void packet_balancer::confirm_denials(
    instant now, instant read_started, Sink& sink) {
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, it] = *entry;
        bool const is_newer = !it.is_confirmed && it.begun < read_started;
        it.is_confirmed = it.is_confirmed || is_newer;
        bool const is_over = is_newer && settle(now, flow, it, sink);
        if (is_newer && it.denied_at != instant{} && !is_over)
            it.next_ask = now;
        entry = is_over ? searches_.erase(entry) : std::next(entry);
    }
}

// Asks those that have not answered again.
template <packet_sink Sink>
void packet_balancer::continue_searches(instant now, Sink& sink) {
    bool const uses_lists = searches_.size() >= options_.min_listed_searches;
    bool is_any_due = false;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, it] = *entry;
        bool const is_due = now >= it.next_ask;
        bool const is_over = is_due && settle(now, flow, it, sink);
        is_any_due = is_any_due || (is_due && !is_over);
        if (is_due && !is_over && !uses_lists) {
            it.stage = internal::search_stage::all;
            ask(now, flow, it, sink);
        }
        entry = is_over ? searches_.erase(entry) : std::next(entry);
    }
    if (uses_lists && is_any_due)
        request_lists(now, sink);
}

// Only the backend server can tell: one packet of the flow is tried there.
template <packet_sink Sink>
void packet_balancer::try_packet(
    instant now, endpoint agent, packet_flow const& flow, Sink& sink) {
    auto const found = searches_.find(flow);
    if (found == searches_.end() || found->second.kept.empty())
        return;
    auto& tried = found->second.tried;
    if (std::find(tried.begin(), tried.end(), agent) != tried.end() ||
        search_rate_.count(now) >= options_.max_search_datagrams)
        return;
    tried.push_back(agent);
    search_rate_.add(now);
    sink.send(agent, {.kind = agent_packet_kind::locate,
                         .service = found->second.service,
                         .route_version = view_.route_version(),
                         .handshake = found->second.acknowledged,
                         .flow = flow,
                         .packet = found->second.kept.back()});
}

template <packet_sink Sink>
void packet_balancer::on_not_held(instant now, endpoint from,
    agent_packet const& message, flow_packet const* packet, Sink& sink) {
    loads_.heard(from);
    if (message.is_uncertain)
        return try_packet(now, from, message.flow, sink);
    if (message.is_locate_reply)
        return on_denied(now, from, message.flow, sink);
    auto const it = flows_.find(message.flow);
    if (it != flows_.end() && it->second.agent == from)
        flows_.erase(it);
    auto const service = view_.service_of(message.flow.service);
    if (packet != nullptr && service != 0)
        search(now, *packet, service, sink);
}

} // namespace radishspread

#endif
