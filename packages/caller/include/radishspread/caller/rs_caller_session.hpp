#ifndef RADISHSPREAD_CALLER_RS_CALLER_SESSION_HPP
#define RADISHSPREAD_CALLER_RS_CALLER_SESSION_HPP

#include <radishspread/caller/internal/rs_pending_request.hpp>
#include <radishspread/caller/rs_caller_session_options.hpp>
#include <radishspread/caller/rs_caller_sink.hpp>
#include <radishspread/core/rs_caller_reply.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace radishspread {

/// The caller's side of one flow: opens the flow, echoes its cookie,
/// retransmits packets and reassembles answers. It has no socket and no clock;
/// actions go to the sink, and the current time is passed in.
///
/// The guarantees on how often a request runs depend on these invariants: only
/// the first cookie is adopted, until a `moved` reply replaces it; a finished
/// request is never sent again; this class never repeats a request with an
/// unknown result on another flow.
class caller_session {
public:
    /// Maximum number of outstanding requests. It is half of the agent's
    /// request window, so that reordering cannot move a request out of the
    /// window.
    static constexpr std::size_t max_outstanding = 32;

    explicit caller_session(caller_session_options options);

    template <caller_sink Sink> void open(instant now, Sink& sink);

    /// Starts a request and returns its id, or 0 if the flow is lost or
    /// `max_outstanding` requests are outstanding. The payload may have up to
    /// `max_payload` bytes.
    template <caller_sink Sink>
    request_id request(instant now, std::vector<std::byte> payload,
        bool idempotent, duration deadline, Sink& sink,
        trace_context const& trace = {});

    /// Cancels a request. Its result is `not_run` if it was never sent, and
    /// `unknown` otherwise.
    template <caller_sink Sink>
    void cancel(instant now, request_id id, Sink& sink);

    /// Closes the flow. Outstanding requests finish as `not_run` if they were
    /// never sent, and as `unknown` otherwise.
    template <caller_sink Sink> void close(instant now, Sink& sink);

    template <caller_sink Sink>
    void handle(instant now, caller_reply const& reply, Sink& sink);

    /// Retransmits packets, sends keepalives and finishes requests whose
    /// deadline has passed.
    template <caller_sink Sink> void tick(instant now, Sink& sink);

    [[nodiscard]] bool is_open() const { return cookie_ && !is_lost_; }
    [[nodiscard]] bool is_lost() const { return is_lost_; }
    [[nodiscard]] std::size_t outstanding() const { return pending_.size(); }
    [[nodiscard]] std::optional<route_cookie> const& cookie() const {
        return cookie_;
    }

private:
    [[nodiscard]] caller_packet make_packet(packet_kind kind) const;
    [[nodiscard]] internal::pending_request* find(request_id id);
    [[nodiscard]] bool is_from_current_agent(caller_reply const& reply) const;

    template <class Sink> void send_open(instant now, Sink& sink);
    template <class Sink>
    void send_request(instant now, internal::pending_request& it, Sink& sink);
    template <class Sink> void send_pending_requests(instant now, Sink& sink);
    template <class Sink>
    void finish(request_id id, request_result result, reason cause, Sink& sink);
    template <class Sink> void mark_lost(reason cause, Sink& sink);
    template <class Sink>
    void on_opened(instant now, caller_reply const& reply, Sink& sink);
    template <class Sink>
    void on_answer(instant now, caller_reply const& reply, Sink& sink);
    template <class Sink>
    void on_refused(caller_reply const& reply, Sink& sink);
    template <class Sink> void on_reset(caller_reply const& reply, Sink& sink);
    template <class Sink>
    void on_moved(instant now, caller_reply const& reply, Sink& sink);

    caller_session_options options_;
    std::optional<route_cookie> cookie_;
    std::vector<internal::pending_request> pending_;
    request_id last_id_ = 0;
    std::uint8_t attempt_ = 0;
    bool is_opening_ = false;
    bool is_lost_ = false;
    /// When the first request since the last reply was sent; empty if no
    /// request was sent since then.
    std::optional<instant> unreplied_since_;
    instant open_deadline_;
    instant next_open_;
    instant next_keepalive_;
    duration open_interval_{0};
};

} // namespace radishspread

#include <radishspread/caller/internal/rs_caller_session_impl.hpp>

#endif
