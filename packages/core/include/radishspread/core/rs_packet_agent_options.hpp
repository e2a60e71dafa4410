#ifndef RADISHSPREAD_CORE_RS_PACKET_AGENT_OPTIONS_HPP
#define RADISHSPREAD_CORE_RS_PACKET_AGENT_OPTIONS_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>

namespace radishspread {

/// Settings of the agent core for packet flows.
struct packet_agent_options {
    std::uint32_t service = 0; ///< `name_tag` of the service it stands before.
    std::uint32_t domain = 0;  ///< `name_tag` of its failure domain.
    endpoint backend;          ///< Where the backend server receives packets.
    std::uint64_t started_unix_ms = 0; ///< Start of this process.
    std::size_t max_flows = 16384;
    /// After this time without a packet a flow is forgotten.
    duration idle_limit = std::chrono::seconds(60);
    /// Entries of flows that ended stay for late packets.
    duration ended_limit = std::chrono::seconds(5);
    /// A request without a packet for this long counts as in progress no more.
    duration request_timeout = std::chrono::seconds(5);
    /// An opening holds a slot for this long, unless the caller sends data: it
    /// may have taken the offer of another backend server.
    duration unused_limit = std::chrono::milliseconds(50);
    /// An opening without a reply for this long counts against the backend
    /// server.
    duration opening_timeout = std::chrono::milliseconds(100);
    /// Share of the slots by which openings from the queue may exceed them, at
    /// least one: keeps the slots busy while the request of a flow that has
    /// just opened is on its way.
    double queue_overcommit = 0.25;
    /// A caller gives up an opening this long after its first copy.
    duration opening_age_limit = std::chrono::milliseconds(1350);
    /// Goal for the response time of a route that names none.
    duration default_goal = std::chrono::milliseconds(200);
    /// A backend server that has sent nothing for this long after a flow was
    /// tried there holds none.
    duration probe_timeout = std::chrono::seconds(1);
    /// Time after the start in which the announcement of a backend server that
    /// has started with the agent is expected.
    duration announcement_timeout = std::chrono::seconds(3);
    /// A gap this long between two events means that the process was paused.
    duration pause_limit = std::chrono::seconds(1);
    /// For this long after its failure domain came back, a backend server with
    /// a warm-up limit counts as cold: its announcement may lag.
    duration restored_cold_period = std::chrono::milliseconds(2500);
};

} // namespace radishspread

#endif
