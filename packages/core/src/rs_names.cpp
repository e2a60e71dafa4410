#include <radishspread/core/rs_reason.hpp>
#include <radishspread/core/rs_step.hpp>

#include <array>

namespace radishspread {

namespace {

constexpr std::array<std::string_view, 16> reason_names{"none",
    "unknown_service", "no_backend_server", "overloaded", "deadline_exceeded",
    "domain_out", "flow_not_held", "stale_incarnation", "invalid_cookie",
    "stale_request", "answer_dropped", "backend_refused", "backend_lost",
    "draining", "unproven_view", "cancelled"};
static_assert(
    reason_names.size() == static_cast<std::size_t>(reason::cancelled) + 1);

constexpr std::array<std::string_view, 12> step_names{"start", "receive",
    "route", "open", "admit", "queue", "dispatch", "answer", "hand_over",
    "read_document", "exchange_digest", "stop"};
static_assert(step_names.size() == static_cast<std::size_t>(step::stop) + 1);

} // namespace

std::string_view to_string(reason value) {
    return reason_names[static_cast<std::size_t>(value)];
}

std::string_view to_string(step value) {
    return step_names[static_cast<std::size_t>(value)];
}

} // namespace radishspread
