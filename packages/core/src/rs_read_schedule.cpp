#include <radishspread/core/internal/rs_read_schedule.hpp>

#include <algorithm>
#include <utility>

namespace radishspread::internal {

read_schedule::read_schedule(std::size_t max_sections)
    : max_sections_(max_sections) {}

bool read_schedule::schedule(
    std::string_view name, revision seen, endpoint peer, instant due) {
    auto const refused = refused_.find(name);
    if (refused != refused_.end() && seen <= refused->second)
        return true;
    auto found = pending_.find(name);
    if (found == pending_.end()) {
        if (pending_.size() >= max_sections_)
            return false;
        found = pending_.emplace(std::string(name), pending_read{}).first;
        found->second.due = due;
    }
    auto& read = found->second;
    if (peer.is_set() && seen >= read.peer_revision) {
        read.peer = peer;
        read.peer_revision = seen;
    }
    if (seen > read.target) {
        read.target = seen;
        read.failures = 0;
        read.due = std::min(read.due, due);
    } else if (read.failures == 0) {
        read.due = std::min(read.due, due);
    }
    return true;
}

bool read_schedule::finish_read(std::string_view name, revision held) {
    auto const found = pending_.find(name);
    if (found == pending_.end())
        return false;
    found->second.is_reading = false;
    auto const refused = refused_.find(name);
    if (refused != refused_.end() && refused->second <= held)
        refused_.erase(refused);
    if (found->second.target > held)
        return true;
    pending_.erase(found);
    return false;
}

void read_schedule::postpone(std::string_view name, instant due) {
    auto const found = pending_.find(name);
    if (found == pending_.end())
        return;
    found->second.is_reading = false;
    ++found->second.failures;
    found->second.due = due;
}

void read_schedule::reschedule(std::string_view name, instant due) {
    auto const found = pending_.find(name);
    if (found != pending_.end())
        found->second.due = due;
}

void read_schedule::refuse(std::string_view name, revision refused) {
    auto const known = refused_.find(name);
    if (known != refused_.end())
        known->second = std::max(known->second, refused);
    else if (refused_.size() < max_sections_)
        refused_.emplace(std::string(name), refused);
    auto const found = pending_.find(name);
    if (found != pending_.end() && found->second.target <= refused)
        pending_.erase(found);
}

void read_schedule::retry_refused_services(instant due) {
    auto const retried = std::exchange(refused_, {});
    for (auto const& [name, seen] : retried)
        if (name.starts_with("service/"))
            schedule(name, seen, endpoint{}, due);
        else
            refused_.emplace(name, seen);
}

void read_schedule::restart(instant now) {
    for (auto& [name, read] : pending_) {
        read.is_reading = false;
        read.failures = 0;
        read.due = now;
    }
}

unsigned read_schedule::failures(std::string_view name) const {
    auto const found = pending_.find(name);
    return found == pending_.end() ? 0 : found->second.failures;
}

bool read_schedule::is_settled(std::string_view name) const {
    return pending_.find(name) == pending_.end();
}

bool read_schedule::all_attempted() const {
    return std::all_of(pending_.begin(), pending_.end(),
        [](auto const& it) { return it.second.failures > 0; });
}

std::size_t read_schedule::outstanding() const {
    return static_cast<std::size_t>(std::count_if(pending_.begin(),
        pending_.end(), [](auto const& it) { return it.second.is_reading; }));
}

} // namespace radishspread::internal
