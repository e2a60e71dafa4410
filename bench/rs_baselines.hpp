#ifndef RADISHSPREAD_BENCH_RS_BASELINES_HPP
#define RADISHSPREAD_BENCH_RS_BASELINES_HPP

#include <fakes/rs_simulation.hpp>

#include <array>
#include <string_view>
#include <unordered_map>

namespace radishspread::bench {

/// Routing policies that the policy of this project is compared with. None of
/// them forwards packets between agents.
enum class baseline : std::uint8_t {
    modulo, ///< Flow hash modulo the number of backend servers in the view.
    stable, ///< Weighted rendezvous hash over the view.
    flow_tables, ///< `stable`, with the choice stored in a flow table at each
                 ///< balancer.
};

inline constexpr std::size_t baseline_count = 3;
inline constexpr std::array<std::string_view, baseline_count> baseline_names{
    "modulo hash", "stable hash, no agent forwarding",
    "stable hash, flow tables per balancer"};

/// Evaluates the baselines on the packets of a simulation: for each packet that
/// a balancer forwards, determines the agent that each baseline would choose
/// with the balancer's view at that time. The packets themselves are routed by
/// the policy of this project, so all policies are compared with the same
/// seeds, faults and packets.
class baseline_observer final : public fakes::action_filter {
public:
    /// Must be called before the simulation starts.
    void observe(fakes::simulation& sim) { simulation_ = &sim; }

    void balancer_forwards(endpoint& to, forward& message) override;

    /// Number of flows of which the baseline would have sent a packet to
    /// another agent process than the opening.
    [[nodiscard]] std::uint64_t broken_flows(baseline policy) const;
    /// Number of flows that sent a packet after their opening.
    [[nodiscard]] std::uint64_t established_flows() const;

private:
    /// An agent process; `incarnation` is 0 if it is not running.
    struct agent_process {
        endpoint agent;
        incarnation_id incarnation = 0;
        friend bool operator==(
            agent_process const&, agent_process const&) = default;
    };
    struct flow_state {
        std::array<agent_process, baseline_count> opening_choice;
        std::array<bool, baseline_count> is_broken{};
        bool is_established = false;
    };
    using flow_table = std::unordered_map<flow_key, endpoint, flow_key_hash>;

    [[nodiscard]] agent_process find_agent_process(endpoint agent) const;
    [[nodiscard]] std::array<agent_process, baseline_count> choose(
        fakes::process& balancer, flow_key const& key);

    fakes::simulation* simulation_ = nullptr;
    std::unordered_map<flow_key, flow_state, flow_key_hash> flows_;
    std::unordered_map<incarnation_id, flow_table> tables_;
};

} // namespace radishspread::bench

#endif
