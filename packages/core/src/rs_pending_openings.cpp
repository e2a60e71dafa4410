#include <radishspread/core/internal/rs_pending_openings.hpp>

#include <algorithm>
#include <bit>

namespace radishspread::internal {

pending_openings::pending_openings(std::size_t capacity)
    : entries_(capacity),
      buckets_(std::bit_ceil(std::max<std::size_t>(2 * capacity, 2))),
      by_key_(table::bucket_traits(buckets_.data(), buckets_.size())) {
    for (auto& it : entries_)
        free_.push_back(it);
}

pending_openings::~pending_openings() {
    by_key_.clear();
    waiting_.clear();
    free_.clear();
}

pending_opening* pending_openings::add(flow_key const& key, instant now) {
    if (free_.empty())
        return nullptr;
    auto& it = free_.front();
    it.key = key;
    it.sent = now;
    if (!by_key_.insert(it).second)
        return nullptr;
    free_.pop_front();
    waiting_.push_back(it);
    return &it;
}

void pending_openings::erase(flow_key const& key) {
    auto const found = by_key_.find(key);
    if (found == by_key_.end())
        return;
    auto& it = *found;
    by_key_.erase(found);
    waiting_.erase(waiting_.iterator_to(it));
    free_.push_front(it); // The next one finds its memory in the cache.
}

pending_opening* pending_openings::oldest(instant limit) {
    if (waiting_.empty() || waiting_.front().sent > limit)
        return nullptr;
    return &waiting_.front();
}

void pending_openings::clear() {
    by_key_.clear();
    free_.splice(free_.end(), waiting_);
}

} // namespace radishspread::internal
