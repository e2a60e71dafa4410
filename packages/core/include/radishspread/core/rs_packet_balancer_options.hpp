#ifndef RADISHSPREAD_CORE_RS_PACKET_BALANCER_OPTIONS_HPP
#define RADISHSPREAD_CORE_RS_PACKET_BALANCER_OPTIONS_HPP

#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>

namespace radishspread {

/// Settings of the balancer core for packet flows.
struct packet_balancer_options {
    std::uint32_t domain = 0;     ///< `name_tag` of its failure domain.
    std::uint16_t agent_port = 0; ///< Port of every agent, on its host.
    std::size_t max_flows = 65536;
    std::size_t max_openings = 4096; ///< Openings without an answer yet.
    duration idle_limit = std::chrono::seconds(60);
    /// An agent that has not answered an opening for this long is passed over.
    duration reply_timeout = std::chrono::milliseconds(40);
    /// A caller gives up an opening this long after its first copy.
    duration opening_age_limit = std::chrono::milliseconds(1400);
    /// Agents without a free slot that an opening asks before it is queued.
    std::size_t max_declines = 4;
    /// Pause of an opening that no agent answers when its repetitions are used
    /// up.
    duration retry_interval = std::chrono::milliseconds(50);
    /// Time for which an agent that does not answer is passed over.
    duration suspect_time = std::chrono::seconds(2);
    /// Time for which a leaving agent is passed over: its restart.
    duration leaving_suspect_time = std::chrono::seconds(1);
    /// A report of load older than this says nothing.
    duration load_age_limit = std::chrono::seconds(1);
    /// Time that a stage of a search waits for an answer.
    duration stage_timeout = std::chrono::milliseconds(10);
    /// A search that found nobody begins again after this time at the earliest,
    /// which doubles each time.
    duration search_interval = std::chrono::milliseconds(100);
    /// Messages of searches a second, about a fifth of a link of 10 Mbit/s.
    std::size_t max_search_datagrams = 2500;
    /// From this many searches on, agents are asked for lists of their flows.
    std::size_t min_searches_for_lists = 6;
    /// Time between two requests for lists.
    duration list_interval = std::chrono::milliseconds(50);
    /// A search that found nothing is forgotten after this time.
    duration search_age_limit = std::chrono::seconds(3);
    /// A removed backend server may live on, its announcement lapsed; after
    /// this time its agent need not deny a flow any more.
    duration removed_grace_period = std::chrono::seconds(2);
    /// An agent that has answered no question for this long, a restart several
    /// times over, need not deny a flow either.
    duration unresponsive_timeout = std::chrono::milliseconds(1500);
    /// Without any agent's answer for this long, agents are asked in turn.
    duration probe_timeout = std::chrono::milliseconds(200);
    /// Without any agent's answer for this long, a balancer cannot serve.
    duration isolation_timeout = std::chrono::milliseconds(400);
    duration pause_limit = std::chrono::seconds(1);
    std::uint64_t seed = 1; ///< Of the random choices.
};

} // namespace radishspread

#endif
