#ifndef RADISHSPREAD_RUNTIME_RS_SECTION_RESPONSE_HPP
#define RADISHSPREAD_RUNTIME_RS_SECTION_RESPONSE_HPP

#include <radishspread/core/rs_ids.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace radishspread::runtime {

/// HTTP response of the configuration service or of a peer.
struct section_response {
    std::error_code code; ///< Set if no complete response was received.
    std::uint16_t status = 0;
    revision held = 0; ///< From the header `x-revision`.
    std::string tag;   ///< From the header `x-tag`; peers only.
    /// From the header that `configuration_client_options` names; 0 if it is
    /// missing or not a number.
    std::uint64_t era = 0;
    std::string body;

    [[nodiscard]] bool is_ok() const { return !code && status == 200; }
};

/// Called once with the response, unless the request is cancelled before.
using response_callback = std::function<void(section_response const&)>;

} // namespace radishspread::runtime

#endif
