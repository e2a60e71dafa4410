#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PEER_TABLE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PEER_TABLE_HPP

#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <vector>

namespace radishspread::internal {

/// Most peers of one kind that are remembered; 32 in total.
inline constexpr std::size_t max_peers_per_kind = 16;

/// Peers heard recently. Balancers are kept apart from the others, because a
/// balancer hears agents with every reply and would forget other balancers,
/// the only peers that hold all sections.
class peer_table {
public:
    peer_table(endpoint self, std::vector<endpoint> seeds);

    /// Notes that `peer` is alive; the peer heard longest ago makes room.
    void received_from(endpoint peer, instant now);
    /// The same for a peer known to be a balancer.
    void received_from_balancer(endpoint peer, instant now);

    /// Random peer to talk to, unset if none is known. One in eight choices
    /// is a peer from the settings, so that two halves of a healed partition
    /// find each other.
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
