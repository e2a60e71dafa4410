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

/// What a caller writes into a request's payload, so that the backend servers
/// can record its runs and the caller can check its answer.
struct request_text {
    std::uint64_t identity = 0; ///< Unique among all requests of a run.
    service_id service = 0;     ///< Service that the caller means.
    bool idempotent = false;
    std::uint32_t answer_size = 0; ///< Wanted length of the answer, bytes.
    std::uint32_t work_ms = 0;     ///< Time that a warm server takes.
};

[[nodiscard]] std::vector<std::byte> encode(request_text const& it);
[[nodiscard]] std::optional<request_text> parse_request(std::string_view text);

/// The only right answer to the request: its identity and a sequence that
/// follows from it, so that a missing or foreign part is seen.
[[nodiscard]] std::string make_answer(request_text const& it);

/// Identity that an answer names; 0 if it names none.
[[nodiscard]] std::uint64_t answer_identity(std::span<std::byte const> body);

} // namespace radishspread::standins

#endif
