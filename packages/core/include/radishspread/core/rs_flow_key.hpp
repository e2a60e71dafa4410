#ifndef RADISHSPREAD_CORE_RS_FLOW_KEY_HPP
#define RADISHSPREAD_CORE_RS_FLOW_KEY_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace radishspread {

/// Identity of a flow.
struct flow_key {
    service_id service = 0;
    endpoint caller;
    flow_id flow = 0;

    friend auto operator<=>(flow_key const&, flow_key const&) = default;
};

/// 64-bit hash of a key (XXH3); identical in every process.
[[nodiscard]] std::uint64_t hash_value(flow_key const& key);

/// Hasher for unordered containers.
struct flow_key_hash {
    std::size_t operator()(flow_key const& key) const {
        return hash_value(key);
    }
};

} // namespace radishspread

#endif
