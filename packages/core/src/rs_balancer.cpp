#include <radishspread/core/rs_balancer.hpp>

#include <algorithm>
#include <utility>

namespace radishspread {

namespace {

/// A stopping balancer finishes after this idle time without pending openings.
constexpr duration stop_idle_time = std::chrono::seconds(1);

/// A stopping balancer finishes after this time at the latest. Callers
/// retransmit at least every 2 s, so by then each caller has been able to
/// retransmit through another balancer.
constexpr duration stop_time_limit = std::chrono::seconds(3);

} // namespace

balancer::balancer(balancer_options options)
    : options_(std::move(options)), document_(options_.document),
      suspicion_(options_.suspect_window, options_.suspect_time),
      pending_(options_.max_pending_openings) {}

bool balancer::is_invalid(
    route_cookie const& cookie, flow_key const& key) const {
    return cookie.key_id != options_.key_id || cookie.service != key.service ||
           cookie.tag != cookie_tag(options_.key, cookie, key);
}

bool balancer::is_usable(deliver const& message) const {
    auto const& reply = message.reply;
    if (document_.service(reply.service) == nullptr)
        return false;
    if (!reply.cookie)
        return true;
    // The agent may not have received the revision that takes its failure
    // domain out. If its reply is dropped, the caller opens the flow elsewhere.
    return reply.cookie->service == reply.service &&
           !document_.is_out(reply.cookie->domain);
}

void balancer::refresh() {
    if (service_changes_ == document_.service_changes() &&
        shared_changes_ == document_.shared_changes())
        return;
    service_changes_ = document_.service_changes();
    shared_changes_ = document_.shared_changes();
    candidates_.clear();
    suspicion_.mark_unused();
    for (auto const& [name, value] : document_.sections())
        if (auto const* service = std::get_if<service_section>(&value->content))
            for (auto const& entry : service->backend_servers)
                suspicion_.add(entry.agent, entry.domain);
    suspicion_.drop_unused();
    for (auto const& [name, value] : document_.sections())
        if (auto const* service = std::get_if<service_section>(&value->content))
            rebuild(*service);
}

void balancer::rebuild(service_section const& from) {
    auto const is_out = [&](domain_id id) {
        return document_.is_out(id);
    };
    auto const is_leaving = [&](std::string_view host) {
        return document_.is_leaving(host);
    };
    auto& table = candidates_[from.id];
    for (auto const& entry : from.backend_servers) {
        auto const status = eligibility(entry, is_out, is_leaving);
        auto const index = suspicion_.add(entry.agent, entry.domain);
        if (status == candidate_status::ranked_lower)
            table.add(entry, index);
    }
}

bool balancer::is_finished(instant now) const {
    if (!stop_since_)
        return false;
    auto const elapsed = now - *stop_since_;
    if (elapsed >= std::min(stop_limit_, stop_time_limit))
        return true;
    return pending_.is_empty() && now - last_activity_at_ >= stop_idle_time;
}

document const& balancer::view() const {
    return document_;
}

} // namespace radishspread
