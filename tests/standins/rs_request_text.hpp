#ifndef RADISHSPREAD_TESTS_STANDINS_RS_REQUEST_TEXT_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_REQUEST_TEXT_HPP

#include <radishspread/core/rs_ids.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::standins {

/// Content of a request's payload, which the callers write as text. Backend
/// servers use it to record the runs of the request, and callers to check the
/// answer.
struct request_text {
    std::uint64_t identity = 0; ///< Unique within a test run.
    service_id service = 0;     ///< Service that the caller addressed.
    bool idempotent = false;
    std::uint32_t answer_size = 0; ///< Requested length of the answer, bytes.
    std::uint32_t work_ms = 0;     ///< Time that a warm server needs.
};

[[nodiscard]] std::vector<std::byte> encode(request_text const& it);
[[nodiscard]] std::optional<request_text> parse_request(std::string_view text);

/// Expected answer to the request: its identity, followed by a pseudo-random
/// sequence seeded with it. Missing parts and parts of other answers are
/// therefore detected.
[[nodiscard]] std::string make_answer(request_text const& it);

/// Identity at the start of an answer; 0 if there is none.
[[nodiscard]] std::uint64_t answer_identity(std::span<std::byte const> body);

} // namespace radishspread::standins

#endif
