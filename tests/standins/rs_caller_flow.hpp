#ifndef RADISHSPREAD_TESTS_STANDINS_RS_CALLER_FLOW_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_CALLER_FLOW_HPP

#include <radishspread/caller/rs_caller_session.hpp>

#include <standins/rs_request_text.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace radishspread::standins {

class caller_flow;

/// Receives the packets and results of its flows; implemented by the fleet of
/// callers.
class flow_owner {
public:
    virtual ~flow_owner() = default;
    virtual void send(caller_flow& flow, caller_packet const& packet) = 0;
    virtual void finished(caller_flow& flow, request_text const& request,
        finished_request const& result) = 0;
    virtual void lost(caller_flow& flow, reason why) = 0;
};

/// One flow of a caller. A long flow sends requests until it is lost; a short
/// flow closes after a few requests.
class caller_flow {
public:
    caller_flow(flow_owner& owner, caller_session_options options,
        std::size_t socket, bool is_long);

    void open(instant now) { session_.open(now, *this); }
    /// Sends a request; returns false if the flow cannot accept one now.
    bool request(instant now, request_text const& text, duration deadline);
    void handle(instant now, caller_reply const& reply);
    void tick(instant now) { session_.tick(now, *this); }
    void close(instant now) { session_.close(now, *this); }

    // Callbacks of the session.
    void send(caller_packet const& packet);
    void finished(finished_request const& it);
    void flow_lost(reason why) { owner_.lost(*this, why); }

    [[nodiscard]] caller_session const& session() const { return session_; }
    /// Most recent cookie of the flow; empty if the flow was never opened.
    [[nodiscard]] std::optional<route_cookie> const& cookie() const {
        return cookie_;
    }
    [[nodiscard]] caller_session_options const& options() const {
        return options_;
    }
    [[nodiscard]] std::size_t socket() const { return socket_; }
    [[nodiscard]] bool is_long() const { return is_long_; }

    // Schedule, maintained by the owner.
    instant next_request_at{};
    instant last_answer_at{};
    std::size_t requests_left = 0; ///< Of a short flow.
    bool has_timed_out = false;    ///< A request exceeded its deadline.

private:
    flow_owner& owner_;
    caller_session_options options_;
    caller_session session_;
    std::size_t socket_;
    bool is_long_;
    std::optional<route_cookie> cookie_;
    std::map<request_id, request_text> outstanding_;
    request_id last_id_ = 0;
};

} // namespace radishspread::standins

#endif
