#include <radishspread/core/internal/rs_peer_table.hpp>

#include <algorithm>

namespace radishspread::internal {

namespace {

/// One in this many digests is sent to a peer from the settings.
constexpr std::size_t seed_interval = 8;

} // namespace

peer_table::peer_table(endpoint self, std::vector<endpoint> seeds)
    : self_(self), seeds_(std::move(seeds)) {
    std::erase(seeds_, self_);
}

bool peer_table::refresh(list& entries, endpoint peer, instant now) {
    for (auto& it : entries) {
        if (it.peer != peer)
            continue;
        it.last_received_at = now;
        return true;
    }
    return false;
}

void peer_table::insert(list& entries, endpoint peer, instant now) {
    if (entries.size() < entries.capacity()) {
        entries.push_back({peer, now});
        return;
    }
    auto const oldest = std::min_element(
        entries.begin(), entries.end(), [](entry const& a, entry const& b) {
            return a.last_received_at < b.last_received_at;
        });
    *oldest = {peer, now};
}

void peer_table::received_from(endpoint peer, instant now) {
    if (!peer.is_set() || peer == self_)
        return;
    if (refresh(others_, peer, now) || refresh(balancers_, peer, now))
        return;
    insert(others_, peer, now);
}

void peer_table::received_from_balancer(endpoint peer, instant now) {
    if (!peer.is_set() || peer == self_ || refresh(balancers_, peer, now))
        return;
    auto const known = std::find_if(others_.begin(), others_.end(),
        [&](entry const& it) { return it.peer == peer; });
    if (known != others_.end())
        others_.erase(known);
    insert(balancers_, peer, now);
}

endpoint peer_table::choose(jitter& random) const {
    bool const has_no_known_peer = balancers_.empty() && others_.empty();
    bool const prefers_seed = random.below(seed_interval) == 0;
    if (!seeds_.empty() && (has_no_known_peer || prefers_seed))
        return seeds_[random.below(seeds_.size())];
    if (has_no_known_peer)
        return {};
    bool const from_balancers =
        others_.empty() || (!balancers_.empty() && random.below(2) == 0);
    auto const& from = from_balancers ? balancers_ : others_;
    return from[random.below(from.size())].peer;
}

bool peer_table::is_empty() const {
    return seeds_.empty() && balancers_.empty() && others_.empty();
}

} // namespace radishspread::internal
