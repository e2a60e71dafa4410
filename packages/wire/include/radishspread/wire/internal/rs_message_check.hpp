#ifndef RADISHSPREAD_WIRE_INTERNAL_RS_MESSAGE_CHECK_HPP
#define RADISHSPREAD_WIRE_INTERNAL_RS_MESSAGE_CHECK_HPP

#include <radishspread/core/rs_deliver.hpp>
#include <radishspread/core/rs_forward.hpp>
#include <radishspread/core/rs_handover.hpp>
#include <radishspread/core/rs_handover_reply.hpp>
#include <radishspread/core/rs_peer_digest.hpp>

#include <system_error>

namespace radishspread::wire::internal {

/// Check the enumerators and value ranges of a message. The encoder and the
/// decoder use the same checks, so that a receiver accepts every message that
/// is sent. Errors are `wire_error::unknown_kind` and
/// `wire_error::out_of_range`.
[[nodiscard]] std::error_code check(caller_packet const& it);
[[nodiscard]] std::error_code check(caller_reply const& it);
[[nodiscard]] std::error_code check(forward const& it);
[[nodiscard]] std::error_code check(deliver const& it);
[[nodiscard]] std::error_code check(peer_digest const& it);
[[nodiscard]] std::error_code check(handover const& it);
[[nodiscard]] std::error_code check(handover_reply const& it);

} // namespace radishspread::wire::internal

#endif
