#ifndef RADISHSPREAD_CORE_RS_PACKET_BALANCER_OPTIONS_HPP
#define RADISHSPREAD_CORE_RS_PACKET_BALANCER_OPTIONS_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>

namespace radishspread {

/// Options of the balancer core for packet flows.
struct packet_balancer_options {
    std::uint32_t domain = 0;     ///< `name_tag` of its failure domain.
    std::uint16_t agent_port = 0; ///< Port of every agent, on its host.
    std::size_t max_flows = 65536;
    /// Openings that no agent has admitted yet.
    std::size_t max_openings = 4096;
    duration idle_limit = std::chrono::seconds(60);
    /// Time to wait for an agent's reply to an opening before another agent is
    /// tried.
    duration reply_timeout = std::chrono::milliseconds(40);
    /// Age, counted from the caller's first transmission, at which the caller
    /// has abandoned an opening.
    duration opening_age_limit = std::chrono::milliseconds(1400);
    /// Agents without a free slot that are tried for an opening before it is
    /// queued at one of them, and agents with a full queue that are tried
    /// before it is refused.
    std::size_t max_declines = 4;
    /// Time between attempts to retry an opening without a reply while no retry
    /// token is available.
    duration retry_interval = std::chrono::milliseconds(50);
    /// Time for which an opening that an agent has declined because of newer
    /// routes waits for them before another agent is tried.
    duration view_wait = std::chrono::milliseconds(100);
    /// Time for which an agent that does not reply is suspect.
    duration suspect_time = std::chrono::seconds(2);
    /// Time for which a backend server that its agent reports as failing is
    /// taken for failing; then its agent is asked again.
    duration failing_time = std::chrono::seconds(1);
    /// Time for which a leaving agent is suspect; covers its restart.
    duration leaving_suspect_time = std::chrono::seconds(1);
    /// Load reports older than this are ignored.
    duration load_age_limit = std::chrono::seconds(1);
    /// Time that the first stage of a search waits for a reply.
    duration stage_timeout = std::chrono::milliseconds(10);
    /// Shortest time until a search that has found no holder queries all agents
    /// again. It doubles after each query, up to a maximum.
    duration search_interval = std::chrono::milliseconds(100);
    /// Limit of the bytes of search messages in any second; the default is half
    /// of a link of 10 Mbit/s.
    std::size_t search_bytes_per_second = 625'000;
    /// Number of concurrent searches from which on agents are queried for lists
    /// of their flows instead of single flows.
    std::size_t min_searches_for_lists = 6;
    /// Shortest delay of a new search after the last request for lists.
    duration list_interval = std::chrono::milliseconds(50);
    /// Age of a search up to which its packet is sent only to uncertain agents
    /// of the own failure domain, while lists are requested.
    duration local_probe_period = std::chrono::milliseconds(40);
    /// An uncertain agent that has not replied to a packet for this long is
    /// queried again.
    duration probe_reply_timeout = std::chrono::milliseconds(200);
    /// A search is removed this long after the caller's last packet.
    duration search_age_limit = std::chrono::seconds(3);
    /// A removed backend server may still run after its announcement has
    /// expired. After this time a search no longer requires a `not_held` reply
    /// from its agent.
    duration removed_grace_period = std::chrono::seconds(2);
    /// A search does not require a `not_held` reply from an agent that has
    /// replied to no request for this long, which is several times the duration
    /// of a restart.
    duration unresponsive_timeout = std::chrono::milliseconds(1500);
    /// After this time without a reply from any agent, the agents are checked
    /// in turn.
    duration reachability_check_timeout = std::chrono::milliseconds(200);
    /// After this time without a reply from any agent, the balancer is isolated
    /// and reports itself as not serving.
    duration isolation_timeout = std::chrono::milliseconds(400);
    duration pause_limit = std::chrono::seconds(1);
    std::uint64_t seed = 1; ///< Seed of the random choices.
};

} // namespace radishspread

#endif
