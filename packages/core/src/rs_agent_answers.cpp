#include <radishspread/core/internal/rs_agent_answers.hpp>

namespace radishspread::agent_internal {

namespace {

/// Memory counted for each answer in addition to its body, so that the number
/// of empty answers is limited too.
constexpr std::size_t row_overhead = 128;

} // namespace

stored_answers::stored_answers(std::size_t max_total, std::size_t max_answer)
    : max_total_(max_total), max_answer_(max_answer) {}

bool stored_answers::add(request_key key, std::span<std::byte const> body) {
    auto const cost = body.size() + row_overhead;
    if (body.size() > max_answer_ || cost > max_total_)
        return false;
    erase(key);
    while (size_ + cost > max_total_)
        evict_oldest();
    auto const position = unacknowledged_.insert(unacknowledged_.end(), key);
    rows_.emplace(
        key, row{.body = {body.begin(), body.end()}, .position = position});
    size_ += cost;
    return true;
}

std::optional<std::span<std::byte const>> stored_answers::find(
    request_key key) const {
    auto const it = rows_.find(key);
    if (it == rows_.end())
        return std::nullopt;
    return std::span<std::byte const>(it->second.body);
}

void stored_answers::acknowledge(request_key key) {
    auto const it = rows_.find(key);
    if (it == rows_.end() || it->second.is_acknowledged)
        return;
    it->second.is_acknowledged = true;
    acknowledged_.splice(
        acknowledged_.end(), unacknowledged_, it->second.position);
}

void stored_answers::erase(request_key key) {
    auto const it = rows_.find(key);
    if (it == rows_.end())
        return;
    auto& order = it->second.is_acknowledged ? acknowledged_ : unacknowledged_;
    order.erase(it->second.position);
    size_ -= it->second.body.size() + row_overhead;
    rows_.erase(it);
}

void stored_answers::evict_oldest() {
    auto const& order = acknowledged_.empty() ? unacknowledged_ : acknowledged_;
    auto const oldest = order.front();
    erase(oldest);
}

} // namespace radishspread::agent_internal
