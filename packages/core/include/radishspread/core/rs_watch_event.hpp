#ifndef RADISHSPREAD_CORE_RS_WATCH_EVENT_HPP
#define RADISHSPREAD_CORE_RS_WATCH_EVENT_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_peer_digest.hpp>

#include <cstdint>
#include <span>

namespace radishspread {

/// The reply to a watch, or the index of sections of a peer.
struct watch_event {
    std::uint64_t index = 0; ///< Position for the next watch; 0 from a peer.
    std::span<digest_entry const> changes;
    endpoint peer; ///< Unset if sent by the configuration service.
};

/// A watch, or the request for a peer's index, failed.
struct watch_failed_event {
    endpoint peer;
};

} // namespace radishspread

#endif
