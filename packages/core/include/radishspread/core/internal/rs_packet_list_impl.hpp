#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PACKET_LIST_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PACKET_LIST_IMPL_HPP

#include <radishspread/core/rs_packet_balancer.hpp>

namespace radishspread {

// One question for many searches. After a power loss, or when a balancer joins,
// each flow would cost two messages for each agent of its service otherwise.
template <packet_sink Sink>
void packet_balancer::request_lists(instant now, Sink& sink) {
    last_list_at_ = now;
    ++list_number_;
    boost::container::small_vector<std::uint32_t, 8> services;
    for (auto& [flow, it] : searches_) {
        note_listed(now, it);
        if (std::find(services.begin(), services.end(), it.service) ==
            services.end())
            services.push_back(it.service);
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
    boost::container::small_vector<endpoint, 16> asked;
    for (auto const* member : view_.members_of(service)) {
        auto const agent = agent_of(*member);
        if (std::find(asked.begin(), asked.end(), agent) != asked.end())
            continue;
        asked.push_back(agent);
        search_rate_.add(now);
        loads_.asked(now, agent);
        sink.send(agent, {.kind = agent_packet_kind::list,
                             .service = service,
                             .route_version = view_.route_version(),
                             .handshake = list_number_});
    }
}

template <packet_sink Sink>
void packet_balancer::on_listed(
    instant now, endpoint from, agent_packet const& message, Sink& sink) {
    loads_.heard(from);
    auto const listed = decode_flow_list(message.packet);
    bool const is_too_long = message.why == refusal::overloaded;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, it] = *entry;
        bool is_over = false;
        if (it.service != message.service ||
            !it.is_in_list(message.handshake) || it.was_denied_by(from)) {
            // The list says nothing of this search.
        } else if (is_too_long || std::binary_search(listed.begin(),
                                      listed.end(), hash_value(flow))) {
            ask_one(now, from, flow, it, sink);
        } else if (message.is_uncertain) {
            try_packet(now, from, flow, sink);
        } else {
            it.denied.push_back(from);
            is_over = settle(now, flow, it, sink);
        }
        entry = is_over ? searches_.erase(entry) : std::next(entry);
    }
}

} // namespace radishspread

#endif
