#ifndef RADISHSPREAD_CORE_INTERNAL_RS_VIEW_PROOF_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_VIEW_PROOF_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>

namespace radishspread::internal {

/// What one source has said in the current round of proof.
enum class proof_state : std::uint8_t {
    pending,   ///< Nothing yet.
    confirmed, ///< It named the newest revisions that it has.
    failed,    ///< It is down, stale or not proven itself.
};

/// Proof that the view is fresh: begun at start and after each pause, ended by
/// an answer to a question that was asked after that.
struct view_proof {
    bool is_proven = false;
    bool is_timeout_logged = false;
    instant since;
    std::uint64_t nonce = 0; ///< Of the digests sent in this round.
    proof_state service = proof_state::pending;
    proof_state peer = proof_state::pending;
    endpoint index_peer; ///< Peer whose index was asked for, if set.
    bool is_index_peer_proven = false; ///< That peer's view is proven.
    instant index_deadline;

    /// The index that was asked for has arrived.
    void finish_index() {
        index_peer = {};
        if (is_index_peer_proven)
            peer = proof_state::confirmed;
        else if (peer == proof_state::pending)
            peer = proof_state::failed;
    }

    /// True if nothing more is to be waited for, apart from sections that were
    /// named and are still being read. Both sources are awaited for `timeout`,
    /// since either may be stale; after that one is enough.
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
