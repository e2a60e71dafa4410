#include <standins/rs_caller_flow.hpp>

namespace radishspread::standins {

caller_flow::caller_flow(flow_owner& owner, caller_session_options options,
    std::size_t socket, bool is_long)
    : owner_(owner), options_(options), session_(options), socket_(socket),
      is_long_(is_long) {}

bool caller_flow::request(
    instant now, request_text const& text, duration deadline) {
    // Stored before the call, because the request may finish during it.
    auto const id = last_id_ + 1;
    outstanding_[id] = text;
    if (session_.request(now, encode(text), text.idempotent, deadline, *this) ==
        0) {
        outstanding_.erase(id);
        return false;
    }
    last_id_ = id;
    return true;
}

void caller_flow::handle(instant now, caller_reply const& reply) {
    session_.handle(now, reply, *this);
    if (session_.cookie())
        cookie_ = session_.cookie();
}

void caller_flow::send(caller_packet const& packet) {
    if (packet.cookie)
        cookie_ = packet.cookie;
    owner_.send(*this, packet);
}

void caller_flow::finished(finished_request const& it) {
    auto const node = outstanding_.extract(it.request);
    if (!node.empty())
        owner_.finished(*this, node.mapped(), it);
}

} // namespace radishspread::standins
