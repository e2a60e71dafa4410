#ifndef RADISHSPREAD_RUNTIME_RS_STEP_ERROR_HPP
#define RADISHSPREAD_RUNTIME_RS_STEP_ERROR_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_step.hpp>

#include <string>
#include <system_error>

namespace radishspread::runtime {

/// Error code with the processing step in which it occurred and the peer
/// involved.
struct step_error {
    std::error_code code;
    radishspread::step step = radishspread::step::start;
    endpoint peer; ///< Unset if no peer is involved.

    explicit operator bool() const { return static_cast<bool>(code); }
};

/// Formats the error as "message (step=..., peer=...)"; without `peer` if
/// unset.
[[nodiscard]] std::string to_string(step_error const& error);

/// `errno` as an error code.
[[nodiscard]] std::error_code last_system_error();

} // namespace radishspread::runtime

#endif
