#ifndef RADISHSPREAD_CORE_RS_PACKET_AGENT_HPP
#define RADISHSPREAD_CORE_RS_PACKET_AGENT_HPP

#include <radishspread/core/internal/rs_held_flow.hpp>
#include <radishspread/core/internal/rs_opening_queue.hpp>
#include <radishspread/core/internal/rs_rate_window.hpp>
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

/// Decisions of an agent for flows of opaque packets: which openings its
/// backend server takes, and which packets are passed to it. The backend server
/// itself is the only complete table of its flows: it returns a packet of a
/// flow that it does not hold, so what an earlier process knew is learned
/// again.
class packet_agent {
public:
    explicit packet_agent(packet_agent_options options);

    template <packet_sink Sink> void start(instant now, Sink& sink);

    /// A message of the balancer at `from`; `packet` is its decoded packet, or
    /// null if it has none.
    template <packet_sink Sink>
    void handle(instant now, endpoint from, agent_packet const& message,
        flow_packet const* packet, Sink& sink);

    /// A packet from the backend server.
    template <packet_sink Sink>
    void handle_backend(instant now, flow_packet const& packet, Sink& sink);

    /// The first complete read of the configuration has ended, or an item has
    /// changed after it.
    template <packet_sink Sink> void view_changed(instant now, Sink& sink);

    /// Detects a pause; true if what was received before now is too old.
    template <packet_sink Sink> bool check_pause(instant now, Sink& sink);

    template <packet_sink Sink> void tick(instant now, Sink& sink);

    /// Tells the balancers that this agent leaves.
    template <packet_sink Sink> void stop(instant now, Sink& sink);

    [[nodiscard]] fleet_view& view() { return view_; }
    [[nodiscard]] fleet_view const& view() const { return view_; }
    [[nodiscard]] std::size_t flows() const { return open_; }
    [[nodiscard]] std::size_t in_progress() const { return in_progress_; }
    /// True while a new announcement of the backend server would tell that this
    /// agent knows all flows.
    [[nodiscard]] bool awaits_announcement(instant now) const {
        return !is_table_complete_ &&
               now - started_ < options_.announcement_timeout;
    }
    /// Openings that wait for a free slot.
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

private:
    using flow_table =
        std::unordered_map<packet_flow, internal::held_flow, packet_flow_hash>;

    template <packet_sink Sink>
    void on_open(instant now, endpoint from, agent_packet const& message,
        flow_packet const& packet, Sink& sink);
    /// Passes the opening to the backend server.
    template <packet_sink Sink>
    void admit_opening(instant now, endpoint from, agent_packet const& message,
        std::span<std::byte const> bytes, Sink& sink);
    template <packet_sink Sink>
    void enqueue(instant now, endpoint from, agent_packet const& message,
        flow_packet const& packet, Sink& sink);
    /// Gives free slots to queued openings.
    template <packet_sink Sink> void serve_queue(instant now, Sink& sink);
    template <packet_sink Sink>
    void on_locate(
        instant now, endpoint from, agent_packet const& message, Sink& sink);
    template <packet_sink Sink>
    void send_list(
        instant now, endpoint to, agent_packet const& query, Sink& sink);
    /// True if a flow that is not in the table is not at the backend server.
    [[nodiscard]] bool is_table_conclusive(instant now) const {
        return is_table_complete_ ||
               (oldest_probe_at_ != instant{} &&
                   now - oldest_probe_at_ >= options_.probe_timeout);
    }
    /// Flows that may be at the backend server.
    [[nodiscard]] std::vector<std::uint64_t> listable_flows() const;
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
    template <packet_sink Sink>
    void send_not_held(endpoint to, packet_flow const& flow,
        bool is_locate_reply, std::span<std::byte const> bytes, Sink& sink);

    /// Why the opening is not taken; `none` if it is.
    [[nodiscard]] refusal check_admission(
        instant now, agent_packet const& message);
    [[nodiscard]] bool is_cold(instant now, agent_packet const& message) const;
    [[nodiscard]] std::size_t slots() const;
    /// Openings in progress up to which a queued one is served.
    [[nodiscard]] std::size_t queue_limit() const;
    /// Message of this kind with the load of the backend server.
    [[nodiscard]] agent_packet make_report(
        agent_packet_kind kind, packet_flow const& flow) const;
    void set_state(internal::held_flow& it, internal::held_state value);
    void set_outstanding(instant now, internal::held_flow& it, bool value);
    /// The backend server has responded.
    void record_response(instant now, internal::held_flow& it);
    void record_caller_packet(
        instant now, internal::held_flow& it, flow_packet const& packet);
    void record_backend_packet(
        instant now, internal::held_flow& it, flow_packet const& packet);
    /// Frees the slots of openings that their callers have not used.
    void expire_unused(instant now);
    void apply_announcement(fleet_view::member const* self);
    /// Forgets flows that ended or are idle.
    void sweep(instant now);
    [[nodiscard]] internal::held_flow& insert(
        instant now, packet_flow const& flow);

    packet_agent_options options_;
    fleet_view view_;
    flow_table flows_;
    std::map<endpoint, instant> balancers_; ///< Last message of each.
    /// Openings in order of time, until the caller's first data.
    std::deque<std::pair<instant, packet_flow>> unused_;
    std::size_t open_ = 0;
    std::size_t in_progress_ = 0;
    std::uint64_t newest_routes_ = 0; ///< Newest version any balancer showed.
    internal::rate_window cold_window_{std::chrono::seconds(1)};
    std::uint16_t reported_slots_ = 0; ///< As the last balancer gave them.
    int reported_state_ = -1;
    bool has_read_ = false;
    std::uint64_t first_announced_start_ =
        0; ///< Start announced at the first read.
    bool is_table_complete_ = false;
    internal::opening_queue queue_;
    duration service_time_; ///< Usual time to a response.
    instant started_;
    instant last_event_;
    instant oldest_probe_at_;     ///< Of a flow, nothing received since.
    instant oldest_unreplied_at_; ///< Opening without a reply; default: none.
    bool is_unresponsive_ = false;
    instant next_trial_at_;
    instant next_sweep_at_;
};

} // namespace radishspread

#include <radishspread/core/internal/rs_packet_agent_impl.hpp>
#include <radishspread/core/internal/rs_packet_opening_impl.hpp>

#endif
