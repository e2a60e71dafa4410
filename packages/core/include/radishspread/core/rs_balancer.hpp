#ifndef RADISHSPREAD_CORE_RS_BALANCER_HPP
#define RADISHSPREAD_CORE_RS_BALANCER_HPP

#include <radishspread/core/internal/rs_log_limiter.hpp>
#include <radishspread/core/internal/rs_pending_openings.hpp>
#include <radishspread/core/internal/rs_suspicion_table.hpp>
#include <radishspread/core/rs_balancer_events.hpp>
#include <radishspread/core/rs_balancer_options.hpp>
#include <radishspread/core/rs_caller_packet_event.hpp>
#include <radishspread/core/rs_candidate_selection.hpp>
#include <radishspread/core/rs_deliver.hpp>
#include <radishspread/core/rs_document.hpp>
#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/core/rs_stop_event.hpp>

#include <array>
#include <optional>
#include <unordered_map>

namespace radishspread {

/// Decision core of a balancer for flows with route cookies: selects the agent
/// for each caller packet and the caller for each reply. Holds no state of
/// established flows.
class balancer {
public:
    explicit balancer(balancer_options options);

    template <balancer_sink Sink> void start(instant now, Sink& sink);

    template <balancer_sink Sink>
    void handle(instant now, caller_packet_event const& event, Sink& sink);
    template <balancer_sink Sink>
    void handle(instant now, deliver const& message, Sink& sink);
    template <balancer_sink Sink>
    void handle(instant now, stop_event const& event, Sink& sink);

    /// Passes an event on to the document; see `document::handle`.
    template <class Event, balancer_sink Sink>
    requires requires(
        document& doc, instant now, Event const& event, Sink& sink) {
        doc.handle(now, event, sink);
    }
    void handle(instant now, Event const& event, Sink& sink);

    template <balancer_sink Sink> void tick(instant now, Sink& sink);

    /// True once a stop was requested and either no work is left or the time
    /// limit of the stop has passed.
    [[nodiscard]] bool is_finished(instant now) const;

    [[nodiscard]] document const& view() const;

private:
    /// Calls `document::check_pause`; after a pause no opening is tracked.
    template <balancer_sink Sink> bool check_pause(instant now, Sink& sink);
    /// Forwards an opening to its first candidate, or refuses it.
    template <balancer_sink Sink>
    void open(instant now, caller_packet_event const& event, Sink& sink);
    /// Forwards a packet of an established flow to the agent in its cookie.
    template <balancer_sink Sink>
    void route(instant now, caller_packet_event const& event, Sink& sink);
    template <balancer_sink Sink>
    void send_forward(instant now, endpoint to, candidate_list const& list,
        endpoint caller, caller_packet const& packet, Sink& sink);
    template <balancer_sink Sink>
    void refuse_opening(instant now, caller_packet_event const& event,
        radishspread::reason why, std::uint16_t number, Sink& sink);
    template <balancer_sink Sink>
    void reset(instant now, caller_packet_event const& event, Sink& sink);
    /// Adds an opening to the pending ones, so that it is hedged on timeout.
    template <balancer_sink Sink>
    void track(instant now, flow_key const& key, candidate_list const& list,
        caller_packet const& packet, Sink& sink);
    /// Sends an opening without a reply to its next candidate, once.
    template <balancer_sink Sink>
    void hedge(instant now, internal::pending_opening& opening, Sink& sink);
    template <balancer_sink Sink>
    void count_missed_reply(instant now, endpoint agent, Sink& sink);
    /// Logs `event`, at most once a second for each event number.
    template <balancer_sink Sink>
    void report(instant now, log_event const& event, Sink& sink);

    /// True if the cookie's key, service or tag does not match the flow.
    [[nodiscard]] bool is_invalid(
        route_cookie const& cookie, flow_key const& key) const;
    /// True if a reply may be sent to the caller.
    [[nodiscard]] bool is_usable(deliver const& message) const;
    /// Rebuilds the tables derived from sections that have changed.
    void refresh();
    void rebuild(service_section const& from);

    balancer_options options_;
    document document_;
    std::unordered_map<service_id, candidate_table> candidates_;
    internal::suspicion_table suspicion_;
    internal::pending_openings pending_;
    std::array<internal::log_limiter, balancer_events.size()> limiters_;
    std::uint64_t service_changes_ = 0;
    std::uint64_t shared_changes_ = 0;
    std::optional<instant> stop_since_;
    duration stop_limit_{0};
    instant last_activity_at_;
};

} // namespace radishspread

#include <radishspread/core/internal/rs_balancer_impl.hpp>

#endif
