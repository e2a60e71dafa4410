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

/// Decisions of a balancer: where each caller's packet goes, and which reply
/// goes to which caller. It holds no flow state.
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

    /// Events of the document: see `document::handle`.
    template <class Event, balancer_sink Sink>
    requires requires(
        document& doc, instant now, Event const& event, Sink& sink) {
        doc.handle(now, event, sink);
    }
    void handle(instant now, Event const& event, Sink& sink);

    template <balancer_sink Sink> void tick(instant now, Sink& sink);

    /// True once a stop was asked for and nothing is left to do.
    [[nodiscard]] bool is_finished(instant now) const;

    [[nodiscard]] document const& view() const;

private:
    template <balancer_sink Sink> bool check_pause(instant now, Sink& sink);
    template <balancer_sink Sink>
    void open(instant now, caller_packet_event const& event, Sink& sink);
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
    template <balancer_sink Sink>
    void track(instant now, flow_key const& key, candidate_list const& list,
        caller_packet const& packet, Sink& sink);
    template <balancer_sink Sink>
    void hedge(instant now, internal::pending_opening& opening, Sink& sink);
    template <balancer_sink Sink>
    void count_missed_reply(instant now, endpoint agent, Sink& sink);
    template <balancer_sink Sink>
    void report(instant now, log_event const& event, Sink& sink);

    [[nodiscard]] bool is_invalid(
        route_cookie const& cookie, flow_key const& key) const;
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
    instant last_activity_;
};

} // namespace radishspread

#include <radishspread/core/internal/rs_balancer_impl.hpp>

#endif
