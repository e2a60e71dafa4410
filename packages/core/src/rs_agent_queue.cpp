#include <radishspread/core/internal/rs_agent_queue.hpp>

#include <algorithm>

namespace radishspread::agent_internal {

void request_queue::push_back(queued_request it) {
    rows_.push_back(std::move(it));
}

void request_queue::push_front(queued_request it) {
    rows_.push_front(std::move(it));
}

queued_request request_queue::pop_front() {
    auto it = std::move(rows_.front());
    rows_.pop_front();
    return it;
}

template <class Predicate>
std::optional<queued_request> request_queue::take_first(Predicate matches) {
    auto const found = std::find_if(rows_.begin(), rows_.end(), matches);
    if (found == rows_.end())
        return std::nullopt;
    auto it = std::move(*found);
    rows_.erase(found);
    return it;
}

std::optional<queued_request> request_queue::take(request_key key) {
    return take_first([key](auto const& it) { return it.key == key; });
}

std::optional<queued_request> request_queue::pop_expired(instant now) {
    return take_first([now](auto const& it) { return it.deadline <= now; });
}

} // namespace radishspread::agent_internal
