#ifndef RADISHSPREAD_CORE_RS_PEER_DIGEST_HPP
#define RADISHSPREAD_CORE_RS_PEER_DIGEST_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_stamp.hpp>

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace radishspread {

/// Name and revision of one section in effect at the sender.
struct digest_entry {
    std::string_view name;
    revision held = 0; ///< Revision in effect.
};

/// Maximum number of sections in one digest.
inline constexpr std::size_t max_digest_entries = 8;

/// Summary of the revisions in effect at one process, sent to a peer. The entry
/// of `domains` comes first, then those of recently changed sections.
struct peer_digest {
    stamp origin;
    std::uint64_t nonce = 0; ///< A reply repeats the nonce of its request.
    bool is_reply = false;
    bool is_proven = false; ///< The sender's view is proven fresh.
    bool is_balancer = false;
    std::uint64_t view_hash = 0; ///< Hash over all names and revisions.
    boost::container::static_vector<digest_entry, max_digest_entries> entries;
};

} // namespace radishspread

#endif
