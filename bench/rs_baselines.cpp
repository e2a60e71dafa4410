#include <bench/rs_baselines.hpp>

#include <radishspread/core/rs_candidate_selection.hpp>

#include <algorithm>

namespace radishspread::bench {

namespace {

std::vector<backend_entry const*> eligible_entries(
    document const& view, service_id service) {
    std::vector<backend_entry const*> found;
    auto const* const section = view.service(service);
    if (section == nullptr)
        return found;
    for (auto const& it : section->backend_servers) {
        auto const status = eligibility(
            it, [&](domain_id id) { return view.is_out(id); },
            [&](std::string_view name) { return view.is_leaving(name); });
        if (status == candidate_status::ranked_lower)
            found.push_back(&it);
    }
    return found;
}

} // namespace

baseline_observer::agent_process baseline_observer::find_agent_process(
    endpoint agent) const {
    auto const* const it = simulation_->find(agent);
    return {agent, it == nullptr ? 0 : it->info().incarnation};
}

std::array<baseline_observer::agent_process, baseline_count>
baseline_observer::choose(fakes::process& balancer, flow_key const& key) {
    auto const entries = eligible_entries(balancer.view(), key.service);
    std::array<agent_process, baseline_count> chosen;
    if (entries.empty())
        return chosen;
    auto const hash = hash_value(key);
    chosen[0] = find_agent_process(entries[hash % entries.size()]->agent);
    candidate_table table;
    for (auto const* const it : entries)
        table.add(*it);
    auto const stable = table.select(hash, 0).front().agent;
    chosen[1] = find_agent_process(stable);
    auto& flow_agents = tables_[balancer.info().incarnation];
    chosen[2] =
        find_agent_process(flow_agents.try_emplace(key, stable).first->second);
    return chosen;
}

void baseline_observer::balancer_forwards(endpoint& /*to*/, forward& message) {
    auto* const balancer = simulation_->find(message.reply_to);
    if (balancer == nullptr)
        return;
    flow_key const key{
        message.packet.service, message.caller, message.packet.flow};
    auto& flow = flows_[key];
    auto const chosen = choose(*balancer, key);
    if (message.packet.kind == packet_kind::open) {
        // A repeated opening replaces the choices of the earlier one, until the
        // flow has sent a packet after its opening.
        if (!flow.is_established)
            flow.opening_choice = chosen;
        return;
    }
    flow.is_established = true;
    for (std::size_t n = 0; n < baseline_count; ++n)
        if (chosen[n] != flow.opening_choice[n])
            flow.is_broken[n] = true;
}

std::uint64_t baseline_observer::broken_flows(baseline policy) const {
    auto const n = static_cast<std::size_t>(policy);
    return static_cast<std::uint64_t>(
        std::count_if(flows_.begin(), flows_.end(),
            [&](auto const& entry) { return entry.second.is_broken[n]; }));
}

std::uint64_t baseline_observer::established_flows() const {
    return static_cast<std::uint64_t>(
        std::count_if(flows_.begin(), flows_.end(),
            [](auto const& entry) { return entry.second.is_established; }));
}

} // namespace radishspread::bench
