#include <radishspread/core/internal/rs_agent_dispatches.hpp>

namespace radishspread::agent_internal {

namespace {

template <class Rows, class Predicate>
std::vector<dispatch_id> ids_where(Rows const& rows, Predicate matches) {
    std::vector<dispatch_id> ids;
    for (auto const& [id, it] : rows) {
        if (matches(it))
            ids.push_back(id);
    }
    return ids;
}

} // namespace

dispatched_request& dispatch_table::add(
    instant now, std::uint64_t connection, queued_request request) {
    auto const id = ++last_id_;
    auto& it = rows_[id];
    it = {.id = id,
        .connection = connection,
        .sent = now,
        .request = std::move(request)};
    return it;
}

std::optional<dispatched_request> dispatch_table::take(dispatch_id id) {
    auto const it = rows_.find(id);
    if (it == rows_.end())
        return std::nullopt;
    auto taken = std::move(it->second);
    rows_.erase(it);
    return taken;
}

dispatched_request const* dispatch_table::find(request_key key) const {
    for (auto const& [id, it] : rows_) {
        if (it.request.key == key)
            return &it;
    }
    return nullptr;
}

std::vector<dispatch_id> dispatch_table::on_connection(
    std::uint64_t connection) const {
    return ids_where(rows_,
        [connection](auto const& it) { return it.connection == connection; });
}

std::vector<dispatch_id> dispatch_table::expired(instant now) const {
    return ids_where(
        rows_, [now](auto const& it) { return it.request.deadline <= now; });
}

std::vector<dispatch_id> dispatch_table::of_flow(open_id opening) const {
    return ids_where(rows_, [opening](auto const& it) {
        return it.request.key.opening == opening;
    });
}

} // namespace radishspread::agent_internal
