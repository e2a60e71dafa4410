// What happens to a view when the configuration service is restored from a
// backup.
#include <radishspread/core/rs_fleet_view.hpp>

#include <utility>

namespace radishspread {

// A restored service returns each item in a new era. What it says of the time
// that a backend server stays cold was written long ago.
bool fleet_view::is_same_content(
    held_version const& held, fleet_change const& change) const {
    auto const* backend = std::get_if<backend_announcement>(&change.content);
    auto const it = members_.find(change.name);
    if (change.era <= held.number.era ||
        change.revision != held.number.revision || backend == nullptr ||
        it == members_.end())
        return false;
    auto const& announced = it->second;
    return !announced.is_removed && announced.service == backend->service &&
           announced.domain == backend->domain &&
           announced.backend == backend->backend &&
           announced.slots == backend->slots &&
           announced.is_draining == backend->is_draining &&
           announced.start_unix_ms == backend->start_unix_ms;
}

void fleet_view::record_previous(
    held_version& held, std::string const& name) const {
    if (held.removed_at != instant{})
        return;
    auto const it = members_.find(name);
    held.previous = held.number.revision;
    held.previous_start = it == members_.end() ? 0 : it->second.start_unix_ms;
}

// A backup may also have a state between those that the view has seen. A
// backend server that drains does not take up its work again, and one that was
// removed announces itself anew, so their start tells.
bool fleet_view::is_older_state(
    held_version const& held, fleet_change const& change) const {
    if (change.era <= held.number.era ||
        change.revision >= held.number.revision ||
        std::holds_alternative<no_content>(change.content))
        return false;
    auto const* backend = std::get_if<backend_announcement>(&change.content);
    auto const start = backend == nullptr ? 0 : backend->start_unix_ms;
    if (change.revision == held.previous && start == held.previous_start)
        return true;
    auto const it = members_.find(change.name);
    if (backend == nullptr || it == members_.end() ||
        it->second.start_unix_ms != backend->start_unix_ms)
        return false;
    auto const& announced = it->second;
    return announced.is_removed ||
           (announced.is_draining && !backend->is_draining);
}

void fleet_view::defer(
    instant now, held_version& held, fleet_change const& change) {
    auto const* backend = std::get_if<backend_announcement>(&change.content);
    bool const is_of_backend =
        backend != nullptr || members_.contains(change.name);
    auto const limit =
        is_of_backend ? announcer_rewrite_limit : operator_rewrite_limit;
    held.number = change.version();
    deferred_[change.name] = {.change = change, .due = now + limit};
    ++deferred_changes_;
}

void fleet_view::apply_deferred(instant now) {
    for (auto it = deferred_.begin(); it != deferred_.end();) {
        if (now < it->second.due) {
            ++it;
            continue;
        }
        auto const change = std::move(it->second.change);
        it = deferred_.erase(it);
        bool const is_removal =
            std::holds_alternative<no_content>(change.content);
        versions_[change.name].removed_at = is_removal ? now : instant{};
        set_content(now, change);
    }
}

bool fleet_view::awaits_removal(std::string const& name) const {
    auto const it = deferred_.find(name);
    return it != deferred_.end() &&
           std::holds_alternative<no_content>(it->second.change.content);
}

// What a restored service lacks may be written again: a failure domain stays
// out meanwhile, and a backend server stays eligible while it may announce
// itself again.
void fleet_view::finish_read(instant now, std::string_view prefix,
    std::set<std::string, std::less<>> const& names, item_version as_of) {
    for (auto it = versions_.lower_bound(prefix);
         it != versions_.end() && it->first.starts_with(prefix); ++it) {
        auto const& name = it->first;
        auto& held = it->second;
        if (held.number > as_of || names.contains(name) || awaits_removal(name))
            continue;
        deferred_.erase(name); // What was deferred has been removed since.
        bool const is_lost = held.number.era < as_of.era;
        held.number = as_of;
        if (held.removed_at != instant{})
            continue;
        if (is_lost && domains_out_.contains(name)) {
            defer(now, held,
                {.name = name, .revision = as_of.revision, .era = as_of.era});
            continue;
        }
        held.removed_at = now;
        remove(now, name);
        if (auto const found = members_.find(name);
            is_lost && found != members_.end())
            found->second.removal_effective_at = now + expiry_grace_period;
    }
}

internal::era_finding fleet_view::observe_era(
    instant now, instant call_started_at, std::uint64_t era) {
    auto const found = era_.observe(now, call_started_at, era);
    if (found != internal::era_finding::retracted)
        return found;
    // Nothing is known of the revisions of the right era.
    deferred_.clear();
    for (auto& [name, held] : versions_)
        if (held.number.era > era)
            held.number = {.era = era, .revision = 0};
    return found;
}

} // namespace radishspread
