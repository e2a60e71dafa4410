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

/// Random number that an agent or balancer generates at each start.
using incarnation_id = std::uint64_t;

/// Revision of a document section; it never decreases. 0 means that no revision
/// is held.
using revision = std::uint64_t;

/// Random number that the caller generates for a flow.
using flow_id = std::uint64_t;

/// Sequence number of a request in its flow: 1, 2, 3, ...
using request_id = std::uint32_t;

/// Sequence number of an opening in one agent incarnation; distinguishes flows
/// that use the same flow key one after the other.
using open_id = std::uint32_t;

} // namespace radishspread

#endif
