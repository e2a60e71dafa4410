#ifndef RADISHSPREAD_CORE_RS_PACKET_AGENT_OPTIONS_HPP
#define RADISHSPREAD_CORE_RS_PACKET_AGENT_OPTIONS_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>

namespace radishspread {

/// Options of the agent core for packet flows.
struct packet_agent_options {
    std::uint32_t service = 0; ///< `name_tag` of the backend server's service.
    std::uint32_t domain = 0;  ///< `name_tag` of its failure domain.
    endpoint backend;          ///< Where the backend server receives packets.
    std::uint64_t start_unix_ms = 0; ///< Start of this process.
    std::size_t max_flows = 16384;
    /// Balancers that are notified when the agent leaves.
    std::size_t max_balancers = 1024;
    /// A balancer without a message for this long is not notified.
    duration balancer_age_limit = std::chrono::seconds(10);
    /// A flow without a packet for this long is removed.
    duration idle_limit = std::chrono::seconds(60);
    /// Entries of ended flows are retained this long for late packets.
    duration ended_limit = std::chrono::seconds(5);
    /// A request without a packet for this long no longer counts as in
    /// progress.
    duration request_timeout = std::chrono::seconds(5);
    /// An opening whose caller sends no data frees its slot after this long:
    /// the caller may be using the connection of another backend server.
    duration unused_limit = std::chrono::milliseconds(50);
    /// A request without a response for this long, and for `slow_factor` times
    /// the mean work of its route, counts as failed.
    duration min_response_limit = std::chrono::milliseconds(250);
    /// Some requests take several times as long as most.
    int slow_factor = 8;
    /// A backend server that sends nothing for this long after an opening
    /// counts as unresponsive.
    duration opening_timeout = std::chrono::milliseconds(100);
    /// Fraction of the slots by which queued openings may exceed them; at least
    /// one opening. Keeps the slots busy while the first request of a newly
    /// opened flow is in transit.
    double queue_overcommit = 0.25;
    /// A caller abandons an opening this long after its first copy.
    duration opening_age_limit = std::chrono::milliseconds(1350);
    /// Response-time goal of routes that set none.
    duration default_goal = std::chrono::milliseconds(200);
    /// A backend server that has sent nothing for this long after a probe holds
    /// no flows.
    duration probe_timeout = std::chrono::seconds(1);
    /// Time after the agent's start within which a backend server that started
    /// with it is expected to be announced.
    duration announcement_timeout = std::chrono::seconds(3);
    /// The process counts as paused if two events are further apart than this.
    duration pause_limit = std::chrono::seconds(1);
    /// A backend server with a warm-up limit counts as cold for this long after
    /// its failure domain is put back into service: its announcement may lag.
    duration restored_cold_period = std::chrono::milliseconds(2500);
};

} // namespace radishspread

#endif
