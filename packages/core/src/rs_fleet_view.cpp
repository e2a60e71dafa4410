#include <radishspread/core/rs_fleet_view.hpp>

#include <algorithm>
#include <utility>

namespace radishspread {

namespace {

// An announcement does not change after its backend server has ended, and only
// then can another one take the address. Start times would not tell, since the
// clock may step between two starts.
fleet_view::member const* select_current(
    fleet_view::member const* a, fleet_view::member const* b) {
    if (a == nullptr)
        return b;
    auto const rank = [](fleet_view::member const& it) {
        return std::pair(!it.is_removed, it.announced_in);
    };
    return rank(*a) < rank(*b) ? b : a;
}

} // namespace

bool fleet_view::is_newer(fleet_change const& change) const {
    auto const it = versions_.find(change.name);
    return it == versions_.end() || change.version() > it->second.number;
}

// The word of the source counts, whatever a peer has returned meanwhile.
bool fleet_view::apply(instant now, fleet_change const& change) {
    if (replaced_.contains(change.name))
        restore(change.name);
    if (std::holds_alternative<route_set>(change.content))
        restore_routes();
    return merge(now, change);
}

void fleet_view::apply_peer(instant now, std::string_view prefix,
    std::span<fleet_change const> changes, item_version as_of) {
    std::set<std::string_view> names;
    for (auto const& it : changes) {
        if (!it.name.starts_with(prefix))
            continue;
        names.insert(it.name);
        apply_provisional(now, it);
    }
    std::vector<std::string> removed;
    for (auto it = versions_.lower_bound(prefix);
         it != versions_.end() && it->first.starts_with(prefix); ++it)
        if (it->second.removed_at == instant{} && it->second.number < as_of &&
            !names.contains(it->first))
            removed.push_back(it->first);
    for (auto const& name : removed)
        apply_provisional(
            now, {.name = name, .revision = as_of.revision, .era = as_of.era});
}

void fleet_view::apply_provisional(instant now, fleet_change const& change) {
    if (!is_newer(change))
        return;
    auto const [entry, is_new] = replaced_.try_emplace(change.name);
    auto& replaced = entry->second;
    if (is_new) {
        replaced.received_at = now;
        if (auto const it = versions_.find(change.name); it != versions_.end())
            replaced.held = it->second;
        if (auto const it = deferred_.find(change.name); it != deferred_.end())
            replaced.deferred = it->second;
        if (auto const it = members_.find(change.name); it != members_.end())
            replaced.announced = it->second;
        if (auto const it = domains_out_.find(change.name);
            it != domains_out_.end())
            replaced.domain_out = it->second;
    }
    if (std::holds_alternative<route_set>(change.content)) {
        replaced.has_routes = true;
        if (!replaced_routes_)
            replaced_routes_ = {.routes = routes_,
                .warmups = warmups_,
                .name = routes_name_,
                .version = version_};
    }
    merge(now, change);
}

void fleet_view::settle(instant requested_at, std::string_view prefix) {
    std::vector<std::string> unconfirmed;
    for (auto it = replaced_.lower_bound(prefix);
         it != replaced_.end() && it->first.starts_with(prefix); ++it)
        if (it->second.received_at <= requested_at)
            unconfirmed.push_back(it->first);
    for (auto const& name : unconfirmed)
        restore(name);
}

void fleet_view::restore(std::string const& name) {
    auto const replaced = replaced_.extract(name).mapped();
    if (replaced.has_routes)
        restore_routes();
    if (replaced.held)
        versions_[name] = *replaced.held;
    else
        versions_.erase(name);
    if (replaced.deferred)
        deferred_[name] = *replaced.deferred;
    else
        deferred_.erase(name);
    if (replaced.domain_out)
        domains_out_[name] = *replaced.domain_out;
    else
        domains_out_.erase(name);
    if (replaced.announced)
        members_[name] = *replaced.announced;
    else
        members_.erase(name);
    is_index_outdated_ = true;
}

void fleet_view::restore_routes() {
    if (!replaced_routes_)
        return;
    routes_ = std::move(replaced_routes_->routes);
    warmups_ = std::move(replaced_routes_->warmups);
    routes_name_ = std::move(replaced_routes_->name);
    version_ = replaced_routes_->version;
    replaced_routes_.reset();
}

bool fleet_view::merge(instant now, fleet_change const& change) {
    if (!is_newer(change))
        return false;
    if (versions_.size() >= max_items && !versions_.contains(change.name)) {
        ++ignored_items_;
        return false;
    }
    auto& held = versions_[change.name];
    if (is_older_state(held, change)) {
        defer(now, held, change);
        return true;
    }
    deferred_.erase(change.name);
    if (is_same_content(held, change)) {
        held.number = change.version();
        return true;
    }
    record_previous(held, change.name);
    held.number = change.version();
    bool const is_removal = std::holds_alternative<no_content>(change.content);
    held.removed_at = is_removal ? now : instant{};
    set_content(now, change);
    return true;
}

void fleet_view::set_content(instant now, fleet_change const& change) {
    auto const* routes = std::get_if<route_set>(&change.content);
    auto const* backend = std::get_if<backend_announcement>(&change.content);
    auto const* domain = std::get_if<domain_taken_out>(&change.content);
    if (routes != nullptr) {
        apply_routes(change.name, *routes);
    } else if (backend != nullptr) {
        apply_member(now, change, *backend);
    } else if (domain != nullptr) {
        domains_out_[change.name] = domain->domain;
    } else {
        remove(now, change.name);
    }
}

// Routes are never replaced by an older version, even if that version comes in
// an item of a higher revision.
void fleet_view::apply_routes(std::string const& name, route_set const& value) {
    if (value.version <= version_)
        return;
    routes_name_ = name;
    version_ = value.version;
    warmups_ = value.warmups;
    routes_.clear();
    for (auto const& it : value.routes)
        routes_.emplace(it.address, it);
}

void fleet_view::apply_member(
    instant now, fleet_change const& change, backend_announcement const& it) {
    auto& entry = members_[change.name];
    entry = {.service = it.service,
        .domain = it.domain,
        .backend = it.backend,
        .slots = it.slots,
        .is_draining = it.is_draining,
        .cold_until =
            it.warmup_left > duration{0} ? now + it.warmup_left : instant{},
        .start_unix_ms = it.start_unix_ms,
        .announced_in = change.version()};
    is_index_outdated_ = true;
}

void fleet_view::remove(instant now, std::string const& name) {
    if (auto const it = domains_out_.find(name); it != domains_out_.end()) {
        restored_at_[it->second] = now;
        domains_out_.erase(it);
    }
    auto const it = members_.find(name);
    if (it == members_.end() || it->second.is_removed)
        return;
    auto& entry = it->second;
    entry.is_removed = true;
    entry.removal_effective_at =
        is_reachable_ ? std::max(now, reachable_since_ + expiry_grace_period)
                      : now + expiry_grace_period;
    if (entry.is_draining)
        return;
    // Several backend servers removed at the same time without draining: their
    // announcements expired in an outage that this process did not notice.
    if (last_expiry_at_ != instant{} && now - last_expiry_at_ < expiry_window)
        entry.removal_effective_at = now + expiry_grace_period;
    last_expiry_at_ = now;
}

void fleet_view::set_reachable(instant now, bool is_reachable) {
    if (is_reachable && !is_reachable_)
        reachable_since_ = now;
    if (!is_reachable && is_reachable_)
        unreachable_since_ = now;
    is_reachable_ = is_reachable;
}

std::vector<fleet_change> fleet_view::items(
    instant now, std::string_view prefix) const {
    std::vector<fleet_change> out;
    for (auto it = versions_.lower_bound(prefix);
         it != versions_.end() && it->first.starts_with(prefix); ++it) {
        auto const number = it->second.number;
        fleet_change item{
            .name = it->first, .revision = number.revision, .era = number.era};
        auto const found = members_.find(item.name);
        auto const domain = domains_out_.find(item.name);
        if (item.name == routes_name_)
            item.content = routes();
        else if (domain != domains_out_.end())
            item.content = domain_taken_out{.domain = domain->second};
        else if (found != members_.end() && !found->second.is_removed)
            item.content = announcement_of(now, found->second);
        else
            continue;
        out.push_back(std::move(item));
    }
    return out;
}

route_set fleet_view::routes() const {
    route_set out{.version = version_, .warmups = warmups_};
    for (auto const& [address, route] : routes_)
        out.routes.push_back(route);
    return out;
}

backend_announcement fleet_view::announcement_of(
    instant now, member const& it) const {
    return {.service = it.service,
        .domain = it.domain,
        .backend = it.backend,
        .slots = it.slots,
        .is_draining = it.is_draining,
        .warmup_left = std::max(it.cold_until - now, duration{0}),
        .start_unix_ms = it.start_unix_ms};
}

void fleet_view::tick(instant now) {
    auto const is_expired = [&](auto const& it) {
        return it.second.is_removed &&
               now - it.second.removal_effective_at > removed_member_limit;
    };
    if (std::erase_if(members_, is_expired) > 0)
        is_index_outdated_ = true;
    apply_deferred(now);
    if (now < next_prune_at_)
        return;
    next_prune_at_ = now + std::chrono::minutes(1);
    std::erase_if(versions_, [&](auto const& it) {
        auto const removed_at = it.second.removed_at;
        return removed_at != instant{} &&
               now - removed_at > removed_revision_limit;
    });
}

void fleet_view::update_index() const {
    if (!std::exchange(is_index_outdated_, false))
        return;
    all_members_.clear();
    by_service_.clear();
    by_host_.clear();
    for (auto const& [name, it] : members_) {
        all_members_.push_back(&it);
        by_service_[it.service].push_back(&it);
        by_host_[it.backend.address].push_back(&it);
    }
}

route_entry const* fleet_view::route_of(endpoint address) const {
    auto const it = routes_.find(address);
    return it == routes_.end() ? nullptr : &it->second;
}

std::uint32_t fleet_view::service_of(endpoint address) const {
    auto const* route = route_of(address);
    return route == nullptr ? 0 : route->service;
}

std::uint8_t fleet_view::priority_of(endpoint address) const {
    auto const* route = route_of(address);
    return route == nullptr ? std::uint8_t{0} : route->priority;
}

bool fleet_view::is_out(std::uint32_t domain) const {
    return std::any_of(domains_out_.begin(), domains_out_.end(),
        [&](auto const& it) { return it.second == domain; });
}

service_warmup fleet_view::warmup_of(std::uint32_t service) const {
    for (auto const& it : warmups_)
        if (it.service == service)
            return it;
    return {.service = service};
}

bool fleet_view::has_warmup_limit() const {
    return std::any_of(warmups_.begin(), warmups_.end(),
        [](auto const& it) { return it.openings_per_second > 0; });
}

std::span<fleet_view::member const* const> fleet_view::members_of(
    std::uint32_t service) const {
    update_index();
    auto const it = by_service_.find(service);
    if (it == by_service_.end())
        return {};
    return it->second;
}

fleet_view::member const* fleet_view::find(
    endpoint backend, std::uint32_t service) const {
    member const* found = nullptr;
    for (auto const* it : members_at(backend.address))
        if (it->backend == backend && it->service == service)
            found = select_current(found, it);
    return found;
}

fleet_view::member const* fleet_view::find_at(
    std::uint32_t host, std::uint32_t service) const {
    member const* found = nullptr;
    for (auto const* it : members_at(host))
        if (it->service == service)
            found = select_current(found, it);
    return found;
}

std::span<fleet_view::member const* const> fleet_view::members_at(
    std::uint32_t host) const {
    update_index();
    auto const it = by_host_.find(host);
    if (it == by_host_.end())
        return {};
    return it->second;
}

fleet_view::member const* fleet_view::next_member(std::string& name) const {
    auto it = members_.upper_bound(name);
    if (it == members_.end())
        it = members_.begin();
    if (it == members_.end())
        return nullptr;
    name = it->first;
    return &it->second;
}

bool fleet_view::is_eligible(instant now, member const& it) const {
    return !(it.is_removed && now >= it.removal_effective_at) &&
           !it.is_draining && !is_out(it.domain);
}

instant fleet_view::restored_at(std::uint32_t domain) const {
    auto const it = restored_at_.find(domain);
    return it == restored_at_.end() ? instant{} : it->second;
}

} // namespace radishspread
