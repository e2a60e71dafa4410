#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>
#include <limits>

namespace radishspread {

packet_balancer::packet_balancer(packet_balancer_options options)
    : options_(options), loads_(options.load_age_limit), random_(options.seed) {
}

endpoint packet_balancer::agent_of(fleet_view::member const& it) const {
    return {.address = it.backend.address, .port = options_.agent_port};
}

fleet_view::member const* packet_balancer::find_member(endpoint agent) const {
    for (auto const* it : view_.members_at(agent.address))
        if (!it->is_removed)
            return it;
    return nullptr;
}

void packet_balancer::note_listed(
    instant now, internal::flow_search& it) const {
    it.stage = internal::search_stage::all;
    if (it.first_list == 0)
        it.first_list = list_number_;
    if (it.asked_all_at == instant{})
        it.asked_all_at = now;
    it.next_ask = now + options_.search_interval;
}

bool packet_balancer::is_denied_by_all(
    instant now, internal::flow_search const& it) const {
    bool const had_time = it.asked_all_at != instant{} &&
                          now - it.asked_all_at >= options_.search_interval;
    auto const members = view_.members_of(it.service);
    return std::all_of(members.begin(), members.end(), [&](auto const* member) {
        auto const agent = agent_of(*member);
        if (it.was_denied_by(agent))
            return true;
        // A backend server gone for long has left its flows; one whose agent
        // has been silent for longer than any restart cannot serve them.
        return (member->is_removed &&
                   now - member->removal_effective_at >= options_.gone_grace) ||
               (had_time &&
                   loads_.is_silent(now, agent, options_.silence_limit));
    });
}

internal::placement_candidates packet_balancer::candidates(
    instant now, opening const& it) const {
    internal::placement_candidates list;
    for (auto const* member : view_.members_of(it.service)) {
        auto const agent = agent_of(*member);
        bool const was_tried = std::find(it.tried.begin(), it.tried.end(),
                                   agent) != it.tried.end();
        // An address in two announcements belongs to the later start.
        if (was_tried || !view_.is_eligible(now, *member) ||
            view_.find(member->backend) != member)
            continue;
        list.push_back({.agent = agent,
            .is_local = member->domain == options_.domain,
            .is_passed_over = loads_.is_passed_over(now, agent),
            .share = loads_.share(now, agent, member->slots),
            .flow_share = loads_.flow_share(agent, member->slots)});
    }
    return list;
}

bool packet_balancer::is_allowed(
    internal::cached_flow& it, packet_flow const& flow) const {
    if (it.checked_version == view_.route_version())
        return true;
    if (view_.service_of(flow.service) == 0)
        return false;
    it.checked_version = view_.route_version();
    return true;
}

agent_packet packet_balancer::make_message(agent_packet_kind kind,
    std::uint32_t service, flow_packet const& packet) const {
    return {.kind = kind,
        .service = service,
        .route_version = view_.route_version(),
        .flow = packet.from_caller(),
        .packet = packet.bytes};
}

agent_packet packet_balancer::make_open(instant now, packet_flow const& flow,
    std::uint32_t service, endpoint agent,
    std::span<std::byte const> bytes) const {
    auto const* member = find_member(agent);
    auto const rate =
        view_.warmup_of(service).openings_per_second * cold_rate_units;
    return {.kind = agent_packet_kind::open,
        .is_cold = member != nullptr && member->cold_until > now,
        .service = service,
        .route_version = view_.route_version(),
        .cold_rate = static_cast<std::uint16_t>(
            std::min<double>(rate, std::numeric_limits<std::uint16_t>::max())),
        .slots = member != nullptr ? member->slots : std::uint16_t{0},
        .flow = flow,
        .packet = bytes};
}

// The agent answers again when the opening has its turn; the caller's copies
// ask whether it still waits.
void packet_balancer::on_queued(
    instant now, endpoint from, agent_packet const& message) {
    loads_.report(now, from, message);
    retries_.answered();
    auto const it = openings_.find(message.flow);
    if (it == openings_.end() || it->second.agent != from)
        return;
    it->second.is_queued = true;
    it->second.answer_due = instant::max();
}

void packet_balancer::note_agent(instant now, packet_flow const& flow,
    endpoint agent, std::uint32_t handshake) {
    auto const [found, is_new] = flows_.try_emplace(flow);
    auto& it = found->second;
    it.last_packet = now;
    // Two agents that both saw the opening reply have both offered the flow.
    bool const is_second_offer =
        !is_new && it.agent != agent && handshake != 0 && it.handshake != 0;
    if (is_second_offer) {
        it.other = agent;
        it.other_handshake = handshake;
    } else {
        it.agent = agent;
        it.handshake = handshake;
    }
}

std::optional<instant> packet_balancer::next_due() const {
    if (openings_.empty() && searches_.empty())
        return std::nullopt;
    auto due = instant::max();
    for (auto const& [flow, it] : searches_)
        due = std::min(due, it.next_ask);
    for (auto const& [flow, it] : openings_)
        due = std::min({due, it.answer_due, it.begun + options_.opening_limit});
    if (due == instant::max())
        return std::nullopt;
    return due;
}

// A full table drops flows that were quiet for half of the usual time, then
// for less: each costs one search if it goes on.
void packet_balancer::sweep(instant now) {
    std::erase_if(searches_, [&](auto const& it) {
        return now - it.second.started >= options_.search_limit;
    });
    auto limit = options_.idle_limit;
    do {
        std::erase_if(flows_, [&](auto const& it) {
            return now - it.second.last_packet >= limit;
        });
        limit /= 2;
    } while (flows_.size() > options_.max_flows && limit > duration{0});
}

} // namespace radishspread
