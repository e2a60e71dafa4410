#ifndef RADISHSPREAD_CORE_RS_IDS_HPP
#define RADISHSPREAD_CORE_RS_IDS_HPP

#include <cstdint>

namespace radishspread {

/// Number of a service, unique in the fleet; 0 is invalid.
using service_id = std::uint32_t;

/// Number of a failure domain, 1 to 64; 0 is invalid.
using domain_id = std::uint16_t;

/// Number of a backend server, unique in the fleet; 0 is invalid.
using backend_id = std::uint32_t;

/// Random number that an agent or balancer picks at each start.
using incarnation_id = std::uint64_t;

/// Revision of a document section; it only grows. 0 means "none held".
using revision = std::uint64_t;

/// Random number that the caller picks for a flow.
using flow_id = std::uint64_t;

/// Number of a request in its flow: 1, 2, 3, ...
using request_id = std::uint32_t;

/// Number of an opening at one agent incarnation; distinguishes two flows that
/// reuse the same flow key.
using open_id = std::uint32_t;

} // namespace radishspread

#endif
