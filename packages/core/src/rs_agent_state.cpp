#include <radishspread/core/internal/rs_agent_state.hpp>

#include <algorithm>
#include <utility>

namespace radishspread::agent_internal {

agent_state::agent_state(agent_options it)
    : options(std::move(it)), view(options.document),
      answers(options.max_stored_answers, options.max_answer),
      connections(options.reconnect_minimum, options.reconnect_maximum,
          options.document.seed),
      retries(options.retry_tokens, options.retry_ratio) {}

void agent_state::refresh(instant now) {
    refresh_entry();
    bool const is_proven = view.is_proven();
    if (was_proven && !is_proven)
        unproven_since = now;
    was_proven = is_proven;
}

void agent_state::refresh_entry() {
    auto const* const service = view.service(options.service);
    if (service == nullptr)
        return;
    auto const& entries = service->backend_servers;
    auto const it = std::find_if(entries.begin(), entries.end(),
        [this](auto const& entry) { return entry.id == options.backend; });
    // A backend server that was removed from the section is draining. Its slots
    // stay unchanged for the flows that it still serves.
    is_listed = it != entries.end();
    is_draining = !is_listed || it->is_draining || view.is_leaving(it->name);
    if (!is_listed)
        return;
    name = it->name;
    max_flows = it->connections;
    limiter.set_slots(it->slots);
}

bool agent_state::is_out() const {
    return view.is_out(options.domain);
}

bool agent_state::may_dispatch(instant now) const {
    if (is_out())
        return false;
    // If no proof was obtained within the timeout, established flows continue
    // on the unproven view.
    return view.is_proven() ||
           now >= unproven_since + options.document.proof_timeout;
}

bool agent_state::is_backend_unreachable(instant now) {
    return connections.current() == nullptr &&
           now >= disconnected_since + options.disconnected_limit;
}

bool agent_state::is_leaving(instant now) {
    return is_stopping || is_draining || is_backend_unreachable(now);
}

reason agent_state::flow_refusal_reason() {
    if (is_out())
        return reason::domain_out;
    if (!view.is_proven())
        return reason::unproven_view;
    if (is_stopping || is_draining)
        return reason::draining;
    if (!is_listed || connections.current() == nullptr || limiter.bound() == 0)
        return reason::no_backend_server;
    if (flows.owned() >= max_flows)
        return reason::overloaded;
    return reason::none;
}

std::size_t agent_state::demand() const {
    return dispatches.size() + flows.pending() + queue.size();
}

std::uint16_t agent_state::load() const {
    constexpr std::size_t scale = 1000;
    constexpr std::size_t maximum = 0xfffe;
    auto const slots = std::max<std::size_t>(1, limiter.bound());
    return static_cast<std::uint16_t>(
        std::min(maximum, demand() * scale / slots));
}

std::size_t agent_state::max_queued() const {
    return 2 * std::size_t{limiter.slots()};
}

duration agent_state::expected_wait() const {
    auto const slots = std::max<std::uint32_t>(1, limiter.bound());
    auto const ahead = static_cast<duration::rep>(queue.size() + 1);
    return limiter.mean_response_time() * ahead / slots;
}

route_cookie agent_state::make_cookie(flow_entry const& it) const {
    return sign({.domain = options.domain,
                    .service = it.key.service,
                    .agent = options.document.self,
                    .incarnation = options.document.incarnation,
                    .opening = it.opening,
                    .domains_revision = it.domains_revision},
        it.key);
}

route_cookie agent_state::sign(route_cookie cookie, flow_key const& key) const {
    cookie.key_id = options.key_id;
    cookie.tag = cookie_tag(options.key, cookie, key);
    return cookie;
}

bool agent_state::has_valid_tag(
    route_cookie const& cookie, flow_key const& key) const {
    return cookie.key_id == options.key_id &&
           cookie.tag == cookie_tag(options.key, cookie, key);
}

} // namespace radishspread::agent_internal
