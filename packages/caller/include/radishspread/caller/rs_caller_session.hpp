#ifndef RADISHSPREAD_CALLER_RS_CALLER_SESSION_HPP
#define RADISHSPREAD_CALLER_RS_CALLER_SESSION_HPP

#include <radishspread/core/rs_caller_packet.hpp>
#include <radishspread/core/rs_caller_reply.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishspread {

/// Settings of a caller's flow.
struct caller_session_options {
    service_id service = 0;
    flow_id flow = 0;
    duration retransmit_minimum = std::chrono::milliseconds(200);
    duration retransmit_maximum = std::chrono::seconds(2);
    duration open_deadline = std::chrono::seconds(10);
    duration keepalive_interval = std::chrono::seconds(15);
};

/// What became of a request.
enum class request_result : std::uint8_t { answered, not_run, unknown };

/// A request that ended.
struct finished_request {
    request_id request = 0;
    request_result result = request_result::unknown;
    radishspread::reason reason = radishspread::reason::none;
    std::uint16_t status = 0;
    std::vector<std::byte> body;
};

/// Actions of a caller's flow.
template <class Sink>
concept caller_sink = requires(
    Sink& sink, caller_packet const& packet, finished_request& it) {
    sink.send(packet);
    sink.finished(it);
    sink.flow_lost(reason{}); // the flow was reset or never opened
};

/// The caller's side of one flow: opens it, echoes its cookie, retransmits,
/// and assembles answers. It has no socket and no clock.
///
/// Rules that the promises depend on: only the first cookie is adopted (until
/// `moved`), a request that has ended is never sent again, and a request whose
/// result is unknown is never repeated on another flow by this class.
class caller_session {
public:
    explicit caller_session(caller_session_options options);

    template <caller_sink Sink> void open(instant now, Sink& sink);

    /// Starts a request; at most 32 may be outstanding. Returns its id.
    template <caller_sink Sink>
    request_id request(instant now, std::vector<std::byte> payload,
        bool idempotent, duration deadline, Sink& sink);

    template <caller_sink Sink>
    void cancel(instant now, request_id id, Sink& sink);
    template <caller_sink Sink> void close(instant now, Sink& sink);
    template <caller_sink Sink>
    void handle(instant now, caller_reply const& reply, Sink& sink);

    /// Retransmits, sends keepalives and ends requests past their deadline.
    template <caller_sink Sink> void tick(instant now, Sink& sink);

    [[nodiscard]] bool is_open() const;
    [[nodiscard]] bool is_lost() const;
    [[nodiscard]] std::size_t outstanding() const;

private:
    caller_session_options options_;
};

} // namespace radishspread

#endif
