#ifndef RADISHSPREAD_CORE_RS_PACKET_FLOW_HPP
#define RADISHSPREAD_CORE_RS_PACKET_FLOW_HPP

#include <radishspread/core/rs_endpoint.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace radishspread {

/// Identifies a flow of opaque packets by its two ends.
struct packet_flow {
    endpoint caller;
    endpoint service; ///< Address and port that the caller connected to.

    friend auto operator<=>(packet_flow const&, packet_flow const&) = default;
};

/// 64-bit hash (XXH3), the same in every process; logs use it as the id of the
/// flow.
[[nodiscard]] std::uint64_t hash_value(packet_flow const& key);

/// Hasher for unordered containers.
struct packet_flow_hash {
    std::size_t operator()(packet_flow const& key) const {
        return hash_value(key);
    }
};

} // namespace radishspread

#endif
