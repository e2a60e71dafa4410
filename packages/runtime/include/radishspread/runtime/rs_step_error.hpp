#ifndef RADISHSPREAD_RUNTIME_RS_STEP_ERROR_HPP
#define RADISHSPREAD_RUNTIME_RS_STEP_ERROR_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_step.hpp>

#include <string>
#include <system_error>

namespace radishspread::runtime {

/// An error with the step at which it arose and the peer concerned.
struct step_error {
    std::error_code code;
    radishspread::step step = radishspread::step::start;
    endpoint peer; ///< Unset if no peer is concerned.

    explicit operator bool() const { return static_cast<bool>(code); }
};

/// One line: "message (step=..., peer=...)".
[[nodiscard]] std::string to_string(step_error const& error);

/// `errno` as an error code.
[[nodiscard]] std::error_code last_system_error();

} // namespace radishspread::runtime

#endif
