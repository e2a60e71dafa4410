#ifndef RADISHSPREAD_CORE_RS_PACKET_AGENT_HPP
#define RADISHSPREAD_CORE_RS_PACKET_AGENT_HPP

#include <radishspread/core/internal/rs_backend_health.hpp>
#include <radishspread/core/internal/rs_held_flow.hpp>
#include <radishspread/core/internal/rs_opening_queue.hpp>
#include <radishspread/core/internal/rs_rate_window.hpp>
#include <radishspread/core/internal/rs_requests_in_progress.hpp>
#include <radishspread/core/internal/rs_version_claims.hpp>
#include <radishspread/core/internal/rs_work_estimates.hpp>
#include <radishspread/core/rs_fleet_view.hpp>
#include <radishspread/core/rs_flow_list.hpp>
#include <radishspread/core/rs_flow_packet.hpp>
#include <radishspread/core/rs_packet_agent_options.hpp>
#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/core/rs_packet_sinks.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishspread {

/// Core of the agent for flows of opaque packets: decides which openings its
/// backend server is given and which packets are forwarded to it. The flow
/// table may be incomplete after a restart of the agent. It is rebuilt from the
/// backend server, which returns the packets of flows that it does not hold.
class packet_agent {
public:
    explicit packet_agent(packet_agent_options options);

    template <packet_sink Sink> void start(instant now, Sink& sink);

    /// Handles a message of the balancer at `from`; `packet` is the decoded
    /// packet that it contains, or null if there is none.
    template <packet_sink Sink>
    void handle(instant now, endpoint from, agent_packet const& message,
        flow_packet const* packet, Sink& sink);

    /// Handles a packet from the backend server.
    template <packet_sink Sink>
    void handle_backend(instant now, flow_packet const& packet, Sink& sink);

    /// To be called when the first complete read of the configuration has ended
    /// and after each later change of an item.
    template <packet_sink Sink> void view_changed(instant now, Sink& sink);

    /// Detects that the process was paused; true if packets received before
    /// `now` are too old to be handled.
    template <packet_sink Sink> bool check_pause(instant now, Sink& sink);

    template <packet_sink Sink> void tick(instant now, Sink& sink);

    /// Declines the queued openings and notifies the balancers that this agent
    /// is leaving.
    template <packet_sink Sink> void stop(instant now, Sink& sink);

    [[nodiscard]] fleet_view& view() { return view_; }
    [[nodiscard]] fleet_view const& view() const { return view_; }
    [[nodiscard]] std::size_t flows() const { return open_; }
    [[nodiscard]] std::size_t in_progress() const {
        return in_progress_.total();
    }
    /// True while an announcement may still show that the backend server
    /// started with this agent, which makes the flow table complete.
    [[nodiscard]] bool awaits_announcement(instant now) const {
        return !is_table_complete_ &&
               now - started_at_ < options_.announcement_timeout;
    }
    /// True if the backend server fails many requests.
    [[nodiscard]] bool is_failing(instant now) const {
        return health_.is_failing(now);
    }
    /// Openings that wait for a free slot.
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

private:
    using flow_table =
        std::unordered_map<packet_flow, internal::held_flow, packet_flow_hash>;

    /// Looks for newer routes if a message names a version that the view does
    /// not have.
    template <packet_sink Sink>
    void check_claim(
        instant now, endpoint from, std::uint64_t version, Sink& sink);
    template <packet_sink Sink>
    void on_open(instant now, endpoint from, agent_packet const& message,
        flow_packet const& packet, Sink& sink);
    /// Passes the opening, which was queued for `queued_for`, to the backend
    /// server.
    template <packet_sink Sink>
    void admit_opening(instant now, endpoint from, agent_packet const& message,
        std::span<std::byte const> bytes, duration queued_for, Sink& sink);
    template <packet_sink Sink>
    void enqueue(instant now, endpoint from, agent_packet const& message,
        flow_packet const& packet, Sink& sink);
    /// Passes a packet of a known flow to the backend server.
    template <packet_sink Sink>
    void forward_packet(instant now, internal::held_flow& held,
        flow_packet const& packet, Sink& sink);
    /// Queues the first packet of a request on an open flow.
    template <packet_sink Sink>
    void enqueue_request(instant now, endpoint from,
        agent_packet const& message, flow_packet const& packet, Sink& sink);
    /// Passes a queued request on an open flow to the backend server.
    template <packet_sink Sink>
    void admit_request(
        instant now, internal::queued_opening const& queued, Sink& sink);
    template <packet_sink Sink>
    void log_dropped_request(
        packet_flow const& flow, duration queued_for, Sink& sink);
    /// Declines a queued opening for lack of a free slot; drops a request.
    template <packet_sink Sink>
    void decline_queued(
        instant now, internal::queued_opening const& opening, Sink& sink);
    /// Drops queued openings whose callers have given up, and declines those
    /// that will be too late.
    template <packet_sink Sink> void shed_queue(instant now, Sink& sink);
    /// Admits queued openings to free slots.
    template <packet_sink Sink> void serve_queue(instant now, Sink& sink);
    template <packet_sink Sink>
    void on_locate(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
    template <packet_sink Sink>
    void send_list(
        instant now, endpoint to, agent_packet const& query, Sink& sink);
    /// True if the backend server holds no flow that is missing in the table.
    [[nodiscard]] bool is_table_conclusive(instant now) const {
        return is_table_complete_ ||
               (oldest_probe_at_ != instant{} &&
                   now - oldest_probe_at_ >= options_.probe_timeout);
    }
    /// Hashes of the flows that the backend server may hold and that the query
    /// asks for.
    [[nodiscard]] std::vector<std::uint64_t> listable_flows(
        agent_packet const& query) const;
    template <packet_sink Sink>
    void on_packet(instant now, endpoint from, agent_packet const& message,
        flow_packet const& packet, Sink& sink);
    template <packet_sink Sink>
    void on_backend_packet(instant now, flow_packet const& packet, Sink& sink);
    template <packet_sink Sink>
    void on_returned(instant now, flow_packet const& packet, Sink& sink);
    template <packet_sink Sink>
    void decline(instant now, endpoint to, agent_packet const& message,
        refusal why, Sink& sink);
    template <packet_sink Sink>
    void send_held(endpoint to, packet_flow const& flow,
        internal::held_flow const& it, Sink& sink);
    /// Replies that the backend server does not hold the flow of `query`.
    template <packet_sink Sink>
    void send_not_held(endpoint to, agent_packet const& query,
        bool is_locate_reply, std::span<std::byte const> bytes, Sink& sink);

    /// Reason to decline the opening; `none` if it is admitted.
    [[nodiscard]] refusal check_admission(
        instant now, agent_packet const& message);
    [[nodiscard]] bool is_cold(instant now, agent_packet const& message) const;
    /// The announcement of the own backend server, or null.
    [[nodiscard]] fleet_view::member const* find_announced() const {
        return view_.find(options_.backend, options_.service);
    }
    [[nodiscard]] std::size_t slots() const;
    [[nodiscard]] internal::opening_cost cost_of(
        instant now, agent_packet const& message) const;
    /// True if the backend server has room for the opening.
    [[nodiscard]] bool has_room(agent_packet const& message) const;
    /// True if the packet begins a request that has to wait for more urgent
    /// openings.
    [[nodiscard]] bool must_wait(
        internal::held_flow const& held, flow_packet const& packet) const;
    /// Limit of requests in progress below which queued openings are admitted.
    [[nodiscard]] std::size_t queue_limit() const;
    /// Creates a message that reports the load of the backend server.
    [[nodiscard]] agent_packet make_report(
        agent_packet_kind kind, packet_flow const& flow) const;
    void set_state(internal::held_flow& it, internal::held_state value);
    void set_outstanding(instant now, internal::held_flow& it, bool value);
    /// Ends the outstanding request and updates the mean response time.
    void record_response(instant now, internal::held_flow& it);
    void record_caller_packet(
        instant now, internal::held_flow& it, flow_packet const& packet);
    void record_backend_packet(
        instant now, internal::held_flow& it, flow_packet const& packet);
    /// Records requests that have had no response for too long as failed.
    void expire_responses(instant now);
    /// Logs a change of the health of the backend server.
    template <packet_sink Sink> void report_health(instant now, Sink& sink);
    /// Frees the slots of openings whose callers have sent no data within
    /// `unused_limit`.
    void expire_unused(instant now);
    void apply_announcement(instant now, fleet_view::member const* self);
    /// True if the time of day, counted on from the start of this process, has
    /// not reached `start_unix_ms`.
    [[nodiscard]] bool is_in_future(
        instant now, std::uint64_t start_unix_ms) const;
    /// Removes flows that have ended or are idle.
    void sweep(instant now);
    void record_balancer(instant now, endpoint from);
    [[nodiscard]] internal::held_flow& insert(
        instant now, packet_flow const& flow);

    packet_agent_options options_;
    fleet_view view_;
    flow_table flows_;
    std::map<endpoint, instant> balancers_; ///< Time of the last message.
    /// Admitted openings, oldest first, until `unused_limit` has passed.
    std::deque<std::pair<instant, packet_flow>> unused_;
    std::size_t open_ = 0;
    internal::requests_in_progress in_progress_;
    std::size_t stuck_ = 0; ///< Requests in progress that count as failed.
    internal::version_claims claims_; ///< By messages, of the routes.
    internal::rate_window cold_window_{std::chrono::seconds(1)};
    std::uint16_t reported_slots_ = 0; ///< From the last `open` message.
    int reported_state_ = -1;
    bool has_read_ = false;
    std::uint64_t first_announced_start_ = 0; ///< From the first read.
    /// The first read named a start that had not come yet.
    bool is_first_start_wrong_ = false;
    bool is_table_complete_ = false;
    internal::opening_queue queue_;
    internal::work_estimates work_;
    internal::backend_health health_;
    bool was_failing_ = false; ///< As last logged.
    /// Requests that the backend server was given, oldest first.
    std::deque<std::pair<instant, packet_flow>> awaiting_response_;
    instant started_at_;
    instant last_event_at_;
    instant oldest_probe_at_;     ///< First probe without a later reply.
    instant oldest_unreplied_at_; ///< Of an opening; default: none.
    bool is_unresponsive_ = false;
    instant next_trial_at_;
    instant next_sweep_at_;
};

} // namespace radishspread

#include <radishspread/core/internal/rs_packet_agent_impl.hpp>
#include <radishspread/core/internal/rs_packet_opening_impl.hpp>

#endif
