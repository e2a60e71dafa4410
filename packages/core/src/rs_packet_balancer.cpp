#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace radishspread {

packet_balancer::packet_balancer(packet_balancer_options options)
    : options_(options),
      loads_(options.load_age_limit, options.isolation_timeout),
      search_budget_(options.search_bytes_per_second), random_(options.seed) {}

endpoint packet_balancer::agent_of(fleet_view::member const& member) const {
    return {.address = member.backend.address, .port = options_.agent_port};
}

fleet_view::member const* packet_balancer::find_member(
    endpoint agent, std::uint32_t service) const {
    auto const* found = view_.find_at(agent.address, service);
    return found != nullptr && !found->is_removed ? found : nullptr;
}

void packet_balancer::mark_list_requested(
    instant now, internal::flow_search& search) const {
    search.stage = internal::search_stage::all;
    if (search.first_list_number == 0)
        search.first_list_number = list_number_;
    if (search.queried_all_at == instant{})
        search.queried_all_at = now;
    search.next_query_at = now + options_.search_interval;
}

// Requests to agents that have nothing left to reply would use up the limit of
// search messages and delay the packets to uncertain agents.
bool packet_balancer::needs_list_of(
    instant now, std::uint32_t service, endpoint agent) const {
    bool const is_uncertain = loads_.is_uncertain(now, agent);
    return std::any_of(
        searches_.begin(), searches_.end(), [&](auto const& entry) {
            auto const& search = entry.second;
            if (search.service != service ||
                search.was_rejected_by({.agent = agent, .service = service}))
                return false;
            if (!search.packet_sent_to.contains(agent))
                return !is_uncertain;
            return now - search.packet_sent_at >= options_.probe_reply_timeout;
        });
}

// After a restart of all agents, every agent is uncertain about every flow.
// Most flows are opened at an agent of the balancer's own failure domain, so
// sending the packet there first finds most holders with few packets.
bool packet_balancer::may_probe(
    instant now, endpoint agent, internal::flow_search const& search) const {
    auto const* member = find_member(agent, search.service);
    bool const is_local =
        member != nullptr && member->domain == options_.domain;
    return is_local || now - search.started_at >= options_.local_probe_period;
}

// A backend server removed long ago no longer holds its flows; one whose agent
// has been unresponsive for longer than any restart cannot serve them.
bool packet_balancer::needs_no_reply_of(
    instant now, fleet_view::member const& member, instant queried_at) const {
    bool const had_time =
        queried_at != instant{} && now - queried_at >= options_.search_interval;
    bool const is_gone =
        member.is_removed &&
        now - member.removal_effective_at >= options_.removed_grace_period;
    return is_gone || (had_time && loads_.is_unresponsive(now, agent_of(member),
                                       options_.unresponsive_timeout));
}

bool packet_balancer::is_rejected_by_service(
    instant now, internal::flow_search const& search) const {
    auto const members = view_.members_of(search.service);
    return std::all_of(members.begin(), members.end(), [&](auto const* member) {
        return search.was_rejected_by(
                   {.agent = agent_of(*member), .service = member->service}) ||
               needs_no_reply_of(now, *member, search.queried_all_at);
    });
}

bool packet_balancer::is_rejected_by_other_services(instant now,
    packet_flow const& flow, internal::flow_search const& search) const {
    auto const hash = hash_value(flow);
    bool is_rejected_by_any = !search.rejected_by.empty();
    for (auto const* member : view_.members()) {
        if (member->service == search.service)
            continue;
        internal::agent_of_service const agent{
            .agent = agent_of(*member), .service = member->service};
        bool const is_absent =
            reassigned_.find(agent, hash, search.first_reassigned_list,
                view_.route_version()) == internal::list_finding::absent;
        is_rejected_by_any = is_rejected_by_any || is_absent;
        if (!is_absent && !search.was_rejected_by(agent) &&
            !needs_no_reply_of(now, *member, search.reassigned_listed_at))
            return false;
    }
    return is_rejected_by_any;
}

// What an agent lists as reassigned depends on the routes, so a search must use
// the same ones. The caller's next packet resets a flow whose route was
// removed.
void packet_balancer::apply_routes_to_searches(instant now) {
    if (std::exchange(searched_route_version_, view_.route_version()) ==
        view_.route_version())
        return;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        auto& [flow, search] = *entry;
        auto const service = view_.service_of(flow.service);
        if (service != search.service)
            search.restart_at(now, service);
        entry = service == 0 ? searches_.erase(entry) : std::next(entry);
    }
}

void packet_balancer::query_other_services(
    instant now, internal::flow_search& search) {
    search.queries_other_services = true;
    reassigned_list_due_ =
        std::max(now, last_reassigned_list_at_ + options_.list_interval);
}

packet_balancer::reassigned_request packet_balancer::join_reassigned_lists(
    instant now, std::uint32_t number) {
    reassigned_request out;
    for (auto& [flow, search] : searches_) {
        if (!search.queries_other_services)
            continue;
        if (out.newest == 0)
            out.only_service = search.service;
        else if (out.only_service != search.service)
            out.only_service = 0;
        if (search.first_reassigned_list == 0) {
            search.first_reassigned_list = number;
            search.reassigned_listed_at = now;
        }
        out.newest = std::max(out.newest, search.first_reassigned_list);
    }
    return out;
}

internal::placement_candidates packet_balancer::candidates(
    instant now, opening const& pending) const {
    internal::placement_candidates list;
    std::size_t eligible = 0;
    std::size_t failing = 0;
    for (auto const* member : view_.members_of(pending.service)) {
        auto const agent = agent_of(*member);
        bool const was_tried =
            std::find(pending.tried.begin(), pending.tried.end(), agent) !=
            pending.tried.end();
        // Whether the address belongs to another service by now, its agent
        // knows.
        if (!view_.is_eligible(now, *member) ||
            view_.find(member->backend, member->service) != member)
            continue;
        bool const is_failing = loads_.is_failing(now, agent);
        ++eligible;
        failing += is_failing ? 1U : 0U;
        if (was_tried)
            continue;
        list.push_back({.agent = agent,
            .is_local = member->domain == options_.domain,
            .is_failing = is_failing,
            .is_suspect = loads_.is_suspect(now, agent),
            .load_per_slot = loads_.load_per_slot(now, agent, member->slots),
            .urgent_per_slot = loads_.urgent_per_slot(
                now, agent, member->slots, pending.priority),
            .flows_per_slot = loads_.flows_per_slot(agent, member->slots)});
    }
    internal::set_failing_aside({list.data(), list.size()}, eligible, failing);
    return list;
}

bool packet_balancer::is_allowed(
    internal::cached_flow& cached, packet_flow const& flow) const {
    if (cached.checked_route_version == view_.route_version())
        return true;
    if (view_.service_of(flow.service) == 0)
        return false;
    cached.checked_route_version = view_.route_version();
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
    auto const* member = find_member(agent, service);
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

// The agent sends another reply when the opening leaves its queue. Until then
// each retransmission by the caller is forwarded, which checks that the opening
// is still queued.
void packet_balancer::on_queued(
    instant now, endpoint from, agent_packet const& message) {
    loads_.load_reported(
        now, from, message, view_.priority_of(message.flow.service));
    retries_.reply_received();
    auto const it = openings_.find(message.flow);
    if (it == openings_.end() || it->second.agent != from)
        return;
    it->second.is_queued = true;
    it->second.reply_due = instant::max();
}

bool packet_balancer::forget_ended_flow(
    instant now, endpoint from, agent_packet const& message) {
    auto const cached = flows_.find(message.flow);
    auto const service = view_.service_of(message.flow.service);
    bool const is_holder =
        cached != flows_.end() && cached->second.holder.agent == from;
    if (!is_holder || message.packet.empty() || service == 0 || !is_ready())
        return false;
    flows_.erase(cached);
    auto& pending = openings_[message.flow];
    pending.service = service;
    pending.priority = view_.priority_of(message.flow.service);
    pending.first_sent_at = now;
    pending.packet.assign(message.packet.begin(), message.packet.end());
    pending.agent = from;
    pending.tried.push_back(from);
    // The holder may have restarted and the opening be a copy of that of an
    // open flow, so it must not lead to a reset.
    pending.has_unresponsive_agent = true;
    return true;
}

void packet_balancer::cache_holder(
    instant now, packet_flow const& flow, internal::flow_holder const& holder) {
    auto const [found, is_new] = flows_.try_emplace(flow);
    auto& cached = found->second;
    cached.last_packet_at = now;
    // Both agents have forwarded an opening reply to the caller.
    bool const is_second_reply =
        !is_new && cached.holder.agent != holder.agent &&
        holder.handshake != 0 && cached.holder.handshake != 0;
    (is_second_reply ? cached.second_holder : cached.holder) = holder;
}

std::optional<instant> packet_balancer::next_due() const {
    if (openings_.empty() && searches_.empty())
        return std::nullopt;
    auto due = reassigned_list_due_;
    for (auto const& [flow, search] : searches_)
        due = std::min(due, search.next_query_at);
    for (auto const& [flow, pending] : openings_)
        due = std::min({due, pending.reply_due,
            pending.first_sent_at + options_.opening_age_limit});
    if (due == instant::max())
        return std::nullopt;
    return due;
}

// A full table evicts flows that have been idle for half of `idle_limit`, then
// for a quarter, and so on. An evicted flow that continues costs one search.
void packet_balancer::sweep(instant now) {
    std::erase_if(searches_, [&](auto const& entry) {
        return now - entry.second.last_caller_packet_at >=
               options_.search_age_limit;
    });
    if (searches_.empty())
        reassigned_.clear();
    auto limit = options_.idle_limit;
    do {
        std::erase_if(flows_, [&](auto const& entry) {
            return now - entry.second.last_packet_at >= limit;
        });
        limit /= 2;
    } while (flows_.size() > options_.max_flows && limit > duration{0});
}

} // namespace radishspread
