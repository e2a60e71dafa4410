#include <radishspread/core/internal/rs_pending_openings.hpp>

#include <algorithm>
#include <bit>

namespace radishspread::internal {

pending_openings::pending_openings(std::size_t capacity)
    : entries_(capacity),
      buckets_(std::bit_ceil(std::max<std::size_t>(2 * capacity, 2))),
      by_key_(table::bucket_traits(buckets_.data(), buckets_.size())) {
    for (auto& entry : entries_)
        free_.push_back(entry);
}

pending_openings::~pending_openings() {
    by_key_.clear();
    pending_.clear();
    free_.clear();
}

pending_opening* pending_openings::add(flow_key const& key, instant now) {
    if (free_.empty())
        return nullptr;
    auto& opening = free_.front();
    opening.key = key;
    opening.sent = now;
    if (!by_key_.insert(opening).second)
        return nullptr;
    free_.pop_front();
    pending_.push_back(opening);
    return &opening;
}

void pending_openings::erase(flow_key const& key) {
    auto const found = by_key_.find(key);
    if (found == by_key_.end())
        return;
    auto& opening = *found;
    by_key_.erase(found);
    pending_.erase(pending_.iterator_to(opening));
    free_.push_front(opening); // Reused first, while still in the CPU cache.
}

pending_opening* pending_openings::oldest(instant limit) {
    if (pending_.empty() || pending_.front().sent > limit)
        return nullptr;
    return &pending_.front();
}

void pending_openings::clear() {
    by_key_.clear();
    free_.splice(free_.end(), pending_);
}

} // namespace radishspread::internal
