#include <radishspread/core/internal/rs_read_schedule.hpp>

#include <algorithm>
#include <utility>

namespace radishspread::internal {

read_schedule::read_schedule(std::size_t max_sections)
    : max_sections_(max_sections) {}

bool read_schedule::want(
    std::string_view name, revision seen, endpoint peer, instant due) {
    auto const refused = refused_.find(name);
    if (refused != refused_.end() && seen <= refused->second)
        return true;
    auto found = wanted_.find(name);
    if (found == wanted_.end()) {
        if (wanted_.size() >= max_sections_)
            return false;
        found = wanted_.emplace(std::string(name), wanted_section{}).first;
        found->second.due = due;
    }
    auto& it = found->second;
    if (peer.is_set() && seen >= it.peer_revision) {
        it.peer = peer;
        it.peer_revision = seen;
    }
    if (seen > it.wanted) {
        it.wanted = seen;
        it.failures = 0;
        it.due = std::min(it.due, due);
    } else if (it.failures == 0) {
        it.due = std::min(it.due, due);
    }
    return true;
}

bool read_schedule::finish_read(std::string_view name, revision held) {
    auto const found = wanted_.find(name);
    if (found == wanted_.end())
        return false;
    found->second.is_reading = false;
    auto const refused = refused_.find(name);
    if (refused != refused_.end() && refused->second <= held)
        refused_.erase(refused);
    if (found->second.wanted > held)
        return true;
    wanted_.erase(found);
    return false;
}

void read_schedule::postpone(std::string_view name, instant due) {
    auto const found = wanted_.find(name);
    if (found == wanted_.end())
        return;
    found->second.is_reading = false;
    ++found->second.failures;
    found->second.due = due;
}

void read_schedule::reschedule(std::string_view name, instant due) {
    auto const found = wanted_.find(name);
    if (found != wanted_.end())
        found->second.due = due;
}

void read_schedule::refuse(std::string_view name, revision refused) {
    auto const known = refused_.find(name);
    if (known != refused_.end())
        known->second = std::max(known->second, refused);
    else if (refused_.size() < max_sections_)
        refused_.emplace(std::string(name), refused);
    auto const found = wanted_.find(name);
    if (found != wanted_.end() && found->second.wanted <= refused)
        wanted_.erase(found);
}

void read_schedule::retry_refused_services(instant due) {
    auto const retried = std::exchange(refused_, {});
    for (auto const& [name, seen] : retried)
        if (name.starts_with("service/"))
            want(name, seen, endpoint{}, due);
        else
            refused_.emplace(name, seen);
}

void read_schedule::restart(instant now) {
    for (auto& [name, it] : wanted_) {
        it.is_reading = false;
        it.failures = 0;
        it.due = now;
    }
}

unsigned read_schedule::failures(std::string_view name) const {
    auto const found = wanted_.find(name);
    return found == wanted_.end() ? 0 : found->second.failures;
}

bool read_schedule::is_settled(std::string_view name) const {
    return wanted_.find(name) == wanted_.end();
}

bool read_schedule::all_tried() const {
    return std::all_of(wanted_.begin(), wanted_.end(),
        [](auto const& it) { return it.second.failures > 0; });
}

std::size_t read_schedule::outstanding() const {
    return static_cast<std::size_t>(std::count_if(wanted_.begin(),
        wanted_.end(), [](auto const& it) { return it.second.is_reading; }));
}

} // namespace radishspread::internal
