#include <radishspread/caller/rs_caller_session.hpp>

namespace radishspread {

caller_session::caller_session(caller_session_options options)
    : options_(options) {}

caller_packet caller_session::make_packet(packet_kind kind) const {
    return caller_packet{.kind = kind,
        .service = options_.service,
        .flow = options_.flow,
        .cookie = cookie_};
}

internal::pending_request* caller_session::find(request_id id) {
    auto const it = std::find_if(pending_.begin(), pending_.end(),
        [id](auto const& pending) { return pending.id == id; });
    return it == pending_.end() ? nullptr : &*it;
}

bool caller_session::is_from_current_agent(caller_reply const& reply) const {
    // A reset from the agent that handed the flow over may arrive after the
    // cookie of the `moved` reply was adopted. Such a reset no longer applies.
    return !reply.cookie || !cookie_ || *reply.cookie == *cookie_;
}

} // namespace radishspread
