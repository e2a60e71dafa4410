#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PEER_TABLE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PEER_TABLE_HPP

#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <vector>

namespace radishspread::internal {

/// Capacity of the table for each kind of peer; 32 peers in total.
inline constexpr std::size_t max_peers_per_kind = 16;

/// Peers from which messages were received recently. Balancers have a list of
/// their own, because a balancer receives agents' messages with every reply;
/// these would evict other balancers, the only peers that hold all sections.
class peer_table {
public:
    peer_table(endpoint self, std::vector<endpoint> seeds);

    /// Records a message from `peer`. If the list is full, the peer whose last
    /// message is the oldest is evicted.
    void received_from(endpoint peer, instant now);
    /// As `received_from`, for a peer that is known to be a balancer.
    void received_from_balancer(endpoint peer, instant now);

    /// Random peer for the next digest, unset if none is known. One in eight
    /// choices is a peer from the settings, so that both sides of a partition
    /// find each other again after it has healed.
    [[nodiscard]] endpoint choose(jitter& random) const;

    [[nodiscard]] bool is_empty() const;

private:
    struct entry {
        endpoint peer;
        instant last_received_at;
    };
    using list = boost::container::static_vector<entry, max_peers_per_kind>;

    static bool refresh(list& entries, endpoint peer, instant now);
    static void insert(list& entries, endpoint peer, instant now);

    endpoint self_;
    std::vector<endpoint> seeds_;
    list balancers_;
    list others_;
};

} // namespace radishspread::internal

#endif
