#ifndef RADISHSPREAD_CORE_RS_PACKET_BALANCER_HPP
#define RADISHSPREAD_CORE_RS_PACKET_BALANCER_HPP

#include <radishspread/core/internal/rs_agent_loads.hpp>
#include <radishspread/core/internal/rs_byte_budget.hpp>
#include <radishspread/core/internal/rs_flow_cache.hpp>
#include <radishspread/core/internal/rs_flow_search.hpp>
#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/internal/rs_pending_opening.hpp>
#include <radishspread/core/internal/rs_placement.hpp>
#include <radishspread/core/internal/rs_reassigned_lists.hpp>
#include <radishspread/core/internal/rs_retry_tokens.hpp>
#include <radishspread/core/internal/rs_version_claims.hpp>
#include <radishspread/core/rs_fleet_view.hpp>
#include <radishspread/core/rs_flow_list.hpp>
#include <radishspread/core/rs_flow_packet.hpp>
#include <radishspread/core/rs_packet_balancer_options.hpp>
#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/core/rs_packet_sinks.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace radishspread {

/// Core of a balancer for flows of opaque packets: chooses the agent for each
/// opening and forwards each later packet to the agent that holds its flow. Its
/// tables are caches; the agents and their backend servers hold the
/// authoritative state.
class packet_balancer {
public:
    explicit packet_balancer(packet_balancer_options options);

    template <packet_sink Sink> void start(instant now, Sink& sink);

    /// Handles a caller's packet, delivered by the fabric.
    template <packet_sink Sink>
    void handle_caller(instant now, flow_packet const& packet, Sink& sink);

    /// Handles a message of the agent at `from`; `packet` is the decoded packet
    /// in it, or null.
    template <packet_sink Sink>
    void handle(instant now, endpoint from, agent_packet const& message,
        flow_packet const* packet, Sink& sink);

    /// Detects a pause of the process. Returns true if datagrams received
    /// before now are too old to be handled.
    template <packet_sink Sink> bool check_pause(instant now, Sink& sink);

    /// Called after a complete read of the configuration. The read of the
    /// backend servers began at `read_started`.
    template <packet_sink Sink>
    void view_confirmed(instant now, instant read_started, Sink& sink);

    template <packet_sink Sink> void tick(instant now, Sink& sink);

    /// Time at which `tick` is due next; unset if nothing is pending.
    [[nodiscard]] std::optional<instant> next_due() const;

    /// True while openings may be placed: routes are known and the view is
    /// proven.
    [[nodiscard]] bool is_ready() const {
        return is_proven_ && view_.has_routes();
    }

    /// True while the fabric should send callers here: openings may be placed
    /// and at least one agent can be reached.
    [[nodiscard]] bool is_serving(instant now) const {
        return is_ready() && !loads_.reachability().none_reachable(
                                 now, options_.isolation_timeout);
    }

    [[nodiscard]] fleet_view& view() { return view_; }
    [[nodiscard]] fleet_view const& view() const { return view_; }
    [[nodiscard]] std::size_t flows() const { return flows_.size(); }
    [[nodiscard]] std::size_t openings() const { return openings_.size(); }
    /// Agents whose backend servers have been reported as failing lately.
    [[nodiscard]] std::size_t failing_agents(instant now) const {
        return loads_.count_failing(now);
    }

private:
    using opening = internal::pending_opening;
    using opening_table =
        std::unordered_map<packet_flow, opening, packet_flow_hash>;
    using search_table = std::unordered_map<packet_flow, internal::flow_search,
        packet_flow_hash>;

    /// What the searches at other services need.
    struct reassigned_request {
        std::uint32_t newest = 0; ///< Last request that covers all of them.
        /// Service that the routes of all these flows name, whose agents need
        /// not be asked; 0 if there are several.
        std::uint32_t only_service = 0;
    };

    /// Looks for newer routes if a message names a version that the view does
    /// not have.
    template <packet_sink Sink>
    void check_claim(
        instant now, endpoint from, std::uint64_t version, Sink& sink);
    template <packet_sink Sink>
    void on_open(instant now, flow_packet const& packet, Sink& sink);
    template <packet_sink Sink>
    void on_packet(instant now, flow_packet const& packet, Sink& sink);
    template <packet_sink Sink>
    void search_for_holder(instant now, flow_packet const& packet,
        std::uint32_t service, Sink& sink);
    /// Queries the agents of the search's stage, or all agents if that stage
    /// has none.
    template <packet_sink Sink>
    void query_agents(instant now, packet_flow const& flow,
        internal::flow_search& search, Sink& sink);
    /// Returns the number of agents queried.
    template <packet_sink Sink>
    std::size_t query_stage(instant now, packet_flow const& flow,
        internal::flow_search& search, Sink& sink);
    /// Sends a message of a search and counts it towards the limit.
    template <packet_sink Sink>
    void send_search_message(
        instant now, endpoint agent, agent_packet const& message, Sink& sink);
    /// Queries one agent, which must reply.
    template <packet_sink Sink>
    void query_agent(instant now, internal::agent_of_service const& to,
        packet_flow const& flow, internal::flow_search const& search,
        Sink& sink);
    /// Requests lists of flows from the agents of all services that have a
    /// search in progress.
    template <packet_sink Sink> void request_lists(instant now, Sink& sink);
    template <packet_sink Sink>
    void request_lists_of(instant now, std::uint32_t service, Sink& sink);
    template <packet_sink Sink>
    void on_listed(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
    /// Applies new routes to the searches; ends those whose route was removed.
    void apply_routes_to_searches(instant now);
    /// Lets lists be requested from the agents of the other services, as soon
    /// as the interval between requests allows.
    void query_other_services(instant now, internal::flow_search& search);
    /// Requests lists of reassigned flows, as far as the limit of search
    /// messages allows, from the agents that the searches at other services
    /// need them of.
    template <packet_sink Sink>
    void request_reassigned_lists(instant now, Sink& sink);
    /// Lets the searches at other services join the request for lists `number`.
    [[nodiscard]] reassigned_request join_reassigned_lists(
        instant now, std::uint32_t number);
    template <packet_sink Sink>
    void on_reassigned_listed(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
    /// Sends a packet of each flow that is searched for at other services to an
    /// uncertain agent of one of them.
    template <packet_sink Sink>
    void probe_for_other_services(
        instant now, internal::agent_of_service const& agent, Sink& sink);
    /// True if a list of the agent's flows can advance any search of the
    /// service.
    [[nodiscard]] bool needs_list_of(
        instant now, std::uint32_t service, endpoint agent) const;
    /// True if an uncertain agent may be sent a packet of the flow.
    [[nodiscard]] bool may_probe(
        instant now, endpoint agent, internal::flow_search const& search) const;
    /// Records that the lists requested now cover the search.
    void mark_list_requested(instant now, internal::flow_search& search) const;
    /// Sends the packets retained in the search to the holder and removes the
    /// search.
    template <packet_sink Sink>
    void end_search(packet_flow const& flow,
        internal::agent_of_service const& holder, Sink& sink);
    template <packet_sink Sink>
    void on_rejected(instant now, internal::agent_of_service const& from,
        packet_flow const& flow, Sink& sink);
    /// Resets the flow if the agents of all services have rejected it and a
    /// later read of the configuration has confirmed that these are all agents.
    /// Returns true if the search has ended.
    template <packet_sink Sink>
    bool reset_if_not_found(instant now, packet_flow const& flow,
        internal::flow_search& search, Sink& sink);
    template <packet_sink Sink> void continue_searches(instant now, Sink& sink);
    /// Applies a completed read of the configuration that began at
    /// `read_started` to the searches.
    template <packet_sink Sink>
    void confirm_rejections(instant now, instant read_started, Sink& sink);
    /// Sends a packet of the flow to an agent that cannot otherwise determine
    /// whether its backend server holds the flow.
    template <packet_sink Sink>
    void send_probe_packet(instant now, internal::agent_of_service const& to,
        packet_flow const& flow, internal::flow_search& search, Sink& sink);
    /// Sends a packet of each flow that is searched for to an uncertain agent.
    template <packet_sink Sink>
    void probe_for_all_searches(
        instant now, std::uint32_t service, endpoint agent, Sink& sink);
    /// Finds the service of the opening and sends the opening to a first agent.
    /// Returns false if the opening has ended.
    template <packet_sink Sink>
    bool start_opening(
        instant now, packet_flow const& flow, opening& pending, Sink& sink);
    /// Sends the opening to the next agent. Returns false if it has ended.
    template <packet_sink Sink>
    bool place_opening(
        instant now, packet_flow const& flow, opening& pending, Sink& sink);
    template <packet_sink Sink>
    void send_open(instant now, packet_flow const& flow, opening& pending,
        endpoint agent, Sink& sink);
    /// Sends the opening to the same agent again.
    template <packet_sink Sink>
    void resend_open(
        instant now, packet_flow const& flow, opening& pending, Sink& sink);
    /// Handles a missing reply of the agent tried last. Returns false if the
    /// opening has ended.
    template <packet_sink Sink>
    bool on_reply_timeout(
        instant now, packet_flow const& flow, opening& pending, Sink& sink);
    /// Called when no agent is left to try: queues the opening at the least
    /// loaded agent, waits for an agent that has not replied, or refuses the
    /// opening. Returns false if the opening has ended.
    template <packet_sink Sink>
    bool on_agents_exhausted(
        instant now, packet_flow const& flow, opening& pending, Sink& sink);
    template <packet_sink Sink>
    void on_held(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
    /// Replaces the cached flow by an opening that its holder has declined, as
    /// it does no copy of an opening. Returns false if there is no such flow.
    bool forget_ended_flow(
        instant now, endpoint from, agent_packet const& message);
    void on_queued(instant now, endpoint from, agent_packet const& message);
    template <packet_sink Sink>
    void on_declined(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
    template <packet_sink Sink>
    void on_not_held(instant now, endpoint from, agent_packet const& message,
        flow_packet const* packet, Sink& sink);

    [[nodiscard]] endpoint agent_of(fleet_view::member const& member) const;
    [[nodiscard]] internal::placement_candidates candidates(
        instant now, opening const& pending) const;
    /// True if all agents of the service that the flow's route names have
    /// rejected the flow.
    [[nodiscard]] bool is_rejected_by_service(
        instant now, internal::flow_search const& search) const;
    /// True if all agents of the other services have rejected the flow, and at
    /// least one agent at all.
    [[nodiscard]] bool is_rejected_by_other_services(instant now,
        packet_flow const& flow, internal::flow_search const& search) const;
    /// True if a flow may be reset without a reply of the member's agent, which
    /// was queried first at `queried_at`.
    [[nodiscard]] bool needs_no_reply_of(instant now,
        fleet_view::member const& member, instant queried_at) const;
    [[nodiscard]] fleet_view::member const* find_member(
        endpoint agent, std::uint32_t service) const;
    /// True if the flow's route still exists.
    [[nodiscard]] bool is_allowed(
        internal::cached_flow& cached, packet_flow const& flow) const;
    [[nodiscard]] agent_packet make_message(agent_packet_kind kind,
        std::uint32_t service, flow_packet const& packet) const;
    [[nodiscard]] agent_packet make_open(instant now, packet_flow const& flow,
        std::uint32_t service, endpoint agent,
        std::span<std::byte const> bytes) const;
    void cache_holder(instant now, packet_flow const& flow,
        internal::flow_holder const& holder);
    void sweep(instant now);
    /// Detects and logs that no agent can be reached, or that one replies
    /// again; checks the agents meanwhile.
    template <packet_sink Sink>
    void check_reachability(instant now, Sink& sink);

    packet_balancer_options options_;
    fleet_view view_;
    internal::flow_cache flows_;
    opening_table openings_;
    search_table searches_;
    std::uint32_t list_number_ = 0; ///< Number of the last request for lists.
    instant last_list_at_;
    std::uint64_t searched_route_version_ = 0; ///< Applied to the searches.
    internal::reassigned_lists reassigned_;
    instant last_reassigned_list_at_;
    instant reassigned_list_due_ = instant::max();
    std::string
        reassigned_list_member_; ///< Member that was asked for one last.
    internal::agent_loads loads_;
    internal::byte_budget search_budget_;
    internal::retry_tokens retries_;
    internal::jitter random_;
    bool is_proven_ = false;
    bool is_isolated_ = false;   ///< No agent can be reached; as last logged.
    std::string checked_member_; ///< Member whose agent was checked last.
    internal::version_claims claims_; ///< By messages, of the routes.
    instant last_event_at_;
    instant next_sweep_at_;
};

} // namespace radishspread

#include <radishspread/core/internal/rs_packet_balancer_impl.hpp>
#include <radishspread/core/internal/rs_packet_list_impl.hpp>
#include <radishspread/core/internal/rs_packet_reassigned_impl.hpp>
#include <radishspread/core/internal/rs_packet_search_impl.hpp>

#endif
