#ifndef RADISHSPREAD_CALLER_INTERNAL_RS_PENDING_REQUEST_HPP
#define RADISHSPREAD_CALLER_INTERNAL_RS_PENDING_REQUEST_HPP

#include <radishspread/core/rs_caller_packet.hpp>
#include <radishspread/core/rs_caller_reply.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace radishspread::internal {

/// Reassembles the parts of one answer in order. A part that would leave a gap
/// is dropped, because the agent retransmits from the received offset.
class answer_buffer {
public:
    /// Adds a part; returns true once the answer is complete.
    bool add(caller_reply const& part);

    /// Number of contiguous bytes received from the start of the answer.
    [[nodiscard]] std::uint32_t received() const;
    [[nodiscard]] std::uint16_t status() const { return status_; }
    [[nodiscard]] std::vector<std::byte> take() { return std::move(body_); }

private:
    std::vector<std::byte> body_;
    std::optional<std::uint32_t> total_;
    std::uint16_t status_ = 0;
};

/// A request that has not finished.
struct pending_request {
    request_id id = 0;
    bool idempotent = false;
    bool was_sent = false;
    instant deadline;
    instant next_send;
    duration interval{0}; ///< Until the next retransmission; doubles.
    trace_context trace;
    std::vector<std::byte> payload;
    answer_buffer answer;
};

} // namespace radishspread::internal

#endif
