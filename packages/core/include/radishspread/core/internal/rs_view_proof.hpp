#ifndef RADISHSPREAD_CORE_INTERNAL_RS_VIEW_PROOF_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_VIEW_PROOF_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// Result of one source (configuration service or peers) for the current proof.
enum class proof_state : std::uint8_t {
    pending,   ///< No reply yet.
    confirmed, ///< It reported the newest revisions that it has.
    failed,    ///< It is unreachable, stale, or itself unproven.
};

/// Proof that the view is fresh. It begins at start and after each pause; only
/// replies to requests that were sent after that count.
struct view_proof {
    bool is_proven = false;
    bool is_timeout_logged = false;
    instant since;
    std::uint64_t nonce = 0; ///< Of the digests sent for this proof.
    proof_state service = proof_state::pending;
    proof_state peer = proof_state::pending;
    endpoint index_peer; ///< Peer whose index was requested, if set.
    bool is_index_peer_proven = false; ///< That peer's view is proven.
    instant index_deadline;

    /// Records that the requested index was received.
    void finish_index() {
        index_peer = {};
        if (is_index_peer_proven)
            peer = proof_state::confirmed;
        else if (peer == proof_state::pending)
            peer = proof_state::failed;
    }

    /// True if no further reply is awaited; reads of sections that were
    /// reported as newer may still be outstanding. Replies of both sources are
    /// awaited for `timeout`, since either may be stale; after that one is
    /// sufficient.
    [[nodiscard]] bool is_confirmed(instant now, duration timeout) const {
        bool const has_proof =
            service == proof_state::confirmed || peer == proof_state::confirmed;
        bool const all_replied =
            service != proof_state::pending && peer != proof_state::pending;
        return has_proof && (all_replied || now - since >= timeout);
    }
};

} // namespace radishspread::internal

#endif
