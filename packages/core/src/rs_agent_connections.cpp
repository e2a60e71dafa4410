#include <radishspread/core/internal/rs_agent_connections.hpp>

#include <algorithm>

namespace radishspread::agent_internal {

connection_table::connection_table(
    duration minimum, duration maximum, std::uint64_t seed)
    : minimum_(minimum), maximum_(maximum), random_(seed) {}

backend_connection& connection_table::add(instant now) {
    return rows_.emplace_back(
        backend_connection{.id = ++last_id_, .idle_since = now});
}

backend_connection* connection_table::find(std::uint64_t id) {
    auto const it = std::find_if(rows_.begin(), rows_.end(),
        [id](auto const& row) { return row.id == id; });
    return it == rows_.end() ? nullptr : &*it;
}

void connection_table::erase(std::uint64_t id) {
    std::erase_if(rows_, [id](auto const& row) { return row.id == id; });
}

backend_connection* connection_table::current() {
    auto const it = std::find_if(rows_.begin(), rows_.end(),
        [](auto const& row) { return row.state == connection_state::open; });
    return it == rows_.end() ? nullptr : &*it;
}

bool connection_table::has_open_or_connecting() const {
    return std::any_of(rows_.begin(), rows_.end(), [](auto const& row) {
        return row.state != connection_state::finishing;
    });
}

void connection_table::back_off(instant now) {
    next_attempt_ = now + random_.backoff(failures_, minimum_, maximum_);
    ++failures_;
}

} // namespace radishspread::agent_internal
