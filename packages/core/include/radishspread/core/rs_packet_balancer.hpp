#ifndef RADISHSPREAD_CORE_RS_PACKET_BALANCER_HPP
#define RADISHSPREAD_CORE_RS_PACKET_BALANCER_HPP

#include <radishspread/core/internal/rs_agent_loads.hpp>
#include <radishspread/core/internal/rs_flow_cache.hpp>
#include <radishspread/core/internal/rs_flow_search.hpp>
#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/internal/rs_pending_opening.hpp>
#include <radishspread/core/internal/rs_placement.hpp>
#include <radishspread/core/internal/rs_rate_window.hpp>
#include <radishspread/core/internal/rs_retry_tokens.hpp>
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

/// Decisions of a balancer for flows of opaque packets: which agent is asked to
/// take an opening, and which agent gets each later packet. Its tables are
/// caches; the agents and their backend servers hold the truth.
class packet_balancer {
public:
    explicit packet_balancer(packet_balancer_options options);

    template <packet_sink Sink> void start(instant now, Sink& sink);

    /// A packet that the fabric delivered.
    template <packet_sink Sink>
    void handle_caller(instant now, flow_packet const& packet, Sink& sink);

    /// A message of the agent at `from`; `packet` is its decoded packet, if it
    /// has one.
    template <packet_sink Sink>
    void handle(instant now, endpoint from, agent_packet const& message,
        flow_packet const* packet, Sink& sink);

    /// Detects a pause; true if what was received before now is too old.
    template <packet_sink Sink> bool check_pause(instant now, Sink& sink);

    /// A complete read of the configuration has ended; that of the backend
    /// servers began at `read_started`.
    template <packet_sink Sink>
    void view_confirmed(instant now, instant read_started, Sink& sink);

    template <packet_sink Sink> void tick(instant now, Sink& sink);

    /// Time at which `tick` has something to do, if any.
    [[nodiscard]] std::optional<instant> next_due() const;

    /// True once openings may be placed: routes are known and fresh.
    [[nodiscard]] bool is_ready() const {
        return is_proven_ && view_.has_routes();
    }

    /// True while callers should be sent here: openings may be placed, and some
    /// agent answers.
    [[nodiscard]] bool is_serving(instant now) const {
        return is_ready() &&
               !loads_.reachability().none_reachable(now, options_.isolation_timeout);
    }

    [[nodiscard]] fleet_view& view() { return view_; }
    [[nodiscard]] fleet_view const& view() const { return view_; }
    [[nodiscard]] std::size_t flows() const { return flows_.size(); }
    [[nodiscard]] std::size_t openings() const { return openings_.size(); }

private:
    using opening = internal::pending_opening;
    using opening_table =
        std::unordered_map<packet_flow, opening, packet_flow_hash>;
    using search_table = std::unordered_map<packet_flow, internal::flow_search,
        packet_flow_hash>;

    template <packet_sink Sink>
    void on_open(instant now, flow_packet const& packet, Sink& sink);
    template <packet_sink Sink>
    void on_packet(instant now, flow_packet const& packet, Sink& sink);
    template <packet_sink Sink>
    void search_for_holder(instant now, flow_packet const& packet, std::uint32_t service,
        Sink& sink);
    /// Asks the agents of the search's stage, or of the next that has any.
    template <packet_sink Sink>
    void query_agents(instant now, packet_flow const& flow, internal::flow_search& search,
        Sink& sink);
    /// Returns the count of agents asked.
    template <packet_sink Sink>
    std::size_t query_stage(instant now, packet_flow const& flow,
        internal::flow_search& search, Sink& sink);
    /// Asks one agent, which must answer.
    template <packet_sink Sink>
    void query_agent(instant now, endpoint agent, packet_flow const& flow,
        internal::flow_search const& search, Sink& sink);
    /// Asks the agents of all services sought for lists of their flows.
    template <packet_sink Sink> void request_lists(instant now, Sink& sink);
    template <packet_sink Sink>
    void request_lists_of(instant now, std::uint32_t service, Sink& sink);
    template <packet_sink Sink>
    void on_listed(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
    /// The search is covered by the lists requested now.
    void mark_list_requested(instant now, internal::flow_search& search) const;
    /// Sends the packets kept in the search to the holder.
    template <packet_sink Sink>
    void end_search(packet_flow const& flow, endpoint holder, Sink& sink);
    template <packet_sink Sink>
    void on_rejected(
        instant now, endpoint from, packet_flow const& flow, Sink& sink);
    /// Resets the flow if no backend server holds it, as all agents have said.
    /// True if the search is over.
    template <packet_sink Sink>
    bool reset_if_not_found(instant now, packet_flow const& flow, internal::flow_search& search,
        Sink& sink);
    template <packet_sink Sink> void continue_searches(instant now, Sink& sink);
    /// A read of the configuration that began at `read_started` has ended.
    template <packet_sink Sink>
    void confirm_rejections(instant now, instant read_started, Sink& sink);
    /// Sends a packet of the flow to an agent that cannot tell otherwise.
    template <packet_sink Sink>
    void send_trial_packet(
        instant now, endpoint agent, packet_flow const& flow, Sink& sink);
    /// Finds the service of the opening and asks a first agent. Returns false
    /// if the opening ended.
    template <packet_sink Sink>
    bool start_opening(instant now, packet_flow const& flow, opening& pending, Sink& sink);
    /// Asks the next agent to take the opening. Returns false if it ended.
    template <packet_sink Sink>
    bool place_opening(instant now, packet_flow const& flow, opening& pending, Sink& sink);
    template <packet_sink Sink>
    void send_open(instant now, packet_flow const& flow, opening& pending,
        endpoint agent, Sink& sink);
    /// Asks the same agent again.
    template <packet_sink Sink>
    void resend_open(
        instant now, packet_flow const& flow, opening& pending, Sink& sink);
    /// The agent asked last did not answer. Returns false if the opening ended.
    template <packet_sink Sink>
    bool on_reply_timeout(
        instant now, packet_flow const& flow, opening& pending, Sink& sink);
    /// No agent is left to ask. Returns false if the opening ended.
    template <packet_sink Sink>
    bool on_agents_exhausted(instant now, packet_flow const& flow, opening& pending, Sink& sink);
    template <packet_sink Sink>
    void on_held(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
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
    [[nodiscard]] bool is_rejected_by_all(
        instant now, internal::flow_search const& search) const;
    [[nodiscard]] fleet_view::member const* find_member(endpoint agent) const;
    /// True if the flow's route still exists.
    [[nodiscard]] bool is_allowed(
        internal::cached_flow& cached, packet_flow const& flow) const;
    [[nodiscard]] agent_packet make_message(agent_packet_kind kind,
        std::uint32_t service, flow_packet const& packet) const;
    [[nodiscard]] agent_packet make_open(instant now, packet_flow const& flow,
        std::uint32_t service, endpoint agent,
        std::span<std::byte const> bytes) const;
    void cache_agent(instant now, packet_flow const& flow, endpoint agent,
        std::uint32_t handshake);
    void sweep(instant now);
    /// Notices that no agent answers, or that one does again.
    template <packet_sink Sink> void check_reachability(instant now, Sink& sink);

    packet_balancer_options options_;
    fleet_view view_;
    internal::flow_cache flows_;
    opening_table openings_;
    search_table searches_;
    std::uint32_t list_number_ = 0; ///< Of the last request for lists.
    instant last_list_at_;
    internal::agent_loads loads_;
    internal::rate_window search_rate_{std::chrono::seconds(1)};
    internal::retry_tokens retries_;
    internal::jitter random_;
    bool is_proven_ = false;
    bool is_isolated_ = false; ///< As last logged.
    instant last_event_at_;
    instant next_sweep_at_;
};

} // namespace radishspread

#include <radishspread/core/internal/rs_packet_balancer_impl.hpp>
#include <radishspread/core/internal/rs_packet_list_impl.hpp>
#include <radishspread/core/internal/rs_packet_search_impl.hpp>

#endif
