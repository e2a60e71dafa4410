#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_SEARCH_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_SEARCH_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>

namespace radishspread {

template <packet_sink Sink>
void packet_balancer::search(
    instant now, flow_packet const& packet, std::uint32_t service, Sink& sink) {
    auto const flow = packet.from_caller();
    auto const [found, is_new] = searches_.try_emplace(flow);
    auto& it = found->second;
    it.keep(packet);
    if (!is_new && now < it.repeat)
        return;
    // A search that found nobody goes on with the stage that leaves no doubt.
    if (is_new)
        it.stage = internal::search_stage::near;
    it.service = service;
    it.started = now;
    ask(now, flow, it, sink);
}

// The early stages leave the packet out: with a large service and a narrow link
// it would delay the flows that are found.
template <packet_sink Sink>
void packet_balancer::ask(instant now, packet_flow const& flow,
    internal::flow_search& it, Sink& sink) {
    using internal::search_stage;
    it.repeat = now + options_.search_interval * it.repeat_factor;
    it.next_stage = instant::max();
    it.unanswered.clear();
    it.is_final = it.is_confirmed;
    if (search_rate_.count(now) >= options_.max_search_datagrams)
        return;
    std::size_t asked = 0;
    while ((asked = ask_stage(now, flow, it, sink)) == 0 &&
           it.stage != search_stage::tried)
        it.stage = internal::next(it.stage);
    if (it.stage != search_stage::tried)
        it.next_stage = now + options_.stage_limit;
    else
        it.repeat_factor *= 2;
    sink.log({.number = packet_event::flow_sought,
        .flow = flow,
        .version = view_.route_version(),
        .value = static_cast<std::int64_t>(asked)});
}

template <packet_sink Sink>
std::size_t packet_balancer::ask_stage(instant now, packet_flow const& flow,
    internal::flow_search& it, Sink& sink) {
    using internal::search_stage;
    bool const is_tried = it.stage == search_stage::tried;
    agent_packet message{.kind = agent_packet_kind::locate,
        .service = it.service,
        .route_version = view_.route_version(),
        .handshake = it.acknowledged,
        .flow = flow};
    if (is_tried)
        message.packet = it.kept.back();
    boost::container::small_vector<endpoint, 16> asked;
    for (auto const* member : view_.members_of(it.service)) {
        auto const agent = agent_of(*member);
        bool const is_near = member->domain == options_.domain;
        bool const is_in_stage =
            is_tried || is_near == (it.stage == search_stage::near);
        if (!is_in_stage ||
            std::find(asked.begin(), asked.end(), agent) != asked.end())
            continue;
        asked.push_back(agent);
        search_rate_.add(now);
        sink.send(agent, message);
        // A backend server gone for long has left its flows.
        bool const must_answer =
            !member->is_gone || now - member->gone_at < options_.gone_grace;
        if (is_tried && must_answer)
            it.unanswered.push_back(agent);
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
    // The holder has the packet that was tried.
    if (it.stage == internal::search_stage::tried)
        it.kept.pop_back();
    for (auto const& packet : it.kept)
        sink.send(holder, {.kind = agent_packet_kind::carry,
                              .service = it.service,
                              .route_version = view_.route_version(),
                              .flow = flow,
                              .packet = packet});
    searches_.erase(found);
}

// A reset spares the caller the wait for its timeout. It is sent only if every
// backend server of the service was asked and none holds the flow.
template <packet_sink Sink>
void packet_balancer::on_denied(
    instant now, endpoint from, packet_flow const& flow, Sink& sink) {
    auto const found = searches_.find(flow);
    if (found == searches_.end() || !found->second.deny(from))
        return;
    auto& it = found->second;
    if (it.denied_at == instant{}) {
        it.denied_at = now;
        return sink.refresh_members();
    }
    if (!it.is_confirmed)
        return; // The read is still to come.
    if (!it.is_final)
        return ask(now, flow, it, sink);
    sink.log({.number = packet_event::flow_reset,
        .flow = flow,
        .why = refusal::not_held,
        .version = view_.route_version(),
        .age_ms = (now - it.denied_at) / std::chrono::milliseconds(1)});
    sink.reset_caller(flow, it.acknowledged);
    searches_.erase(found);
}

template <packet_sink Sink>
void packet_balancer::on_not_held(instant now, endpoint from,
    agent_packet const& message, flow_packet const* packet, Sink& sink) {
    loads_.heard(from);
    if (message.was_located)
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
