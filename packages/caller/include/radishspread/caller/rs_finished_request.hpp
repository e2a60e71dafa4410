#ifndef RADISHSPREAD_CALLER_RS_FINISHED_REQUEST_HPP
#define RADISHSPREAD_CALLER_RS_FINISHED_REQUEST_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_reason.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishspread {

/// Result of a request.
enum class request_result : std::uint8_t {
    answered, ///< `status` and `body` hold the complete answer.
    not_run,  ///< The request did not and will not run.
    unknown,  ///< The request may have run.
};

/// A finished request and its result.
struct finished_request {
    request_id request = 0;
    request_result result = request_result::unknown;
    radishspread::reason reason = radishspread::reason::none;
    std::uint16_t status = 0;
    std::vector<std::byte> body;
};

} // namespace radishspread

#endif
