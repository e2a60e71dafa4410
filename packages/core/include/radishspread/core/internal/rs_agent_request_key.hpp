#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REQUEST_KEY_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REQUEST_KEY_HPP

#include <radishspread/core/rs_ids.hpp>

#include <tuple>

namespace radishspread::agent_internal {

/// Identifies a request at one agent.
struct request_key {
    open_id opening = 0;
    request_id request = 0;

    friend bool operator==(request_key const&, request_key const&) = default;
    friend bool operator<(request_key const& a, request_key const& b) {
        return std::tie(a.opening, a.request) < std::tie(b.opening, b.request);
    }
};

} // namespace radishspread::agent_internal

#endif
