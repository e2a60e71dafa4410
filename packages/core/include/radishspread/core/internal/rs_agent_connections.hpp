#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_CONNECTIONS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_CONNECTIONS_HPP

#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishspread::agent_internal {

enum class connection_state : std::uint8_t {
    connecting,
    open,
    finishing, ///< GOAWAY was received: accepts no new streams.
};

/// A connection to the backend server.
struct backend_connection {
    std::uint64_t id = 0;
    connection_state state = connection_state::connecting;
    instant idle_since; ///< Last data received, or start of the wait for data.
    std::uint32_t outstanding = 0;
    bool is_pinged = false;
};

/// Connections to the backend server: one for new requests, and those that only
/// finish outstanding requests after a GOAWAY.
class connection_table {
public:
    connection_table(duration minimum, duration maximum, std::uint64_t seed);

    /// Adds a connection in state `connecting`.
    backend_connection& add(instant now);
    [[nodiscard]] backend_connection* find(std::uint64_t id);
    void erase(std::uint64_t id);

    /// Connection that accepts new requests, or null.
    [[nodiscard]] backend_connection* current();
    /// True if any connection is open or being established.
    [[nodiscard]] bool has_open_or_connecting() const;

    /// Schedules the next attempt with exponential backoff and jitter.
    void back_off(instant now);
    void connected() { failures_ = 0; }
    void retry_now(instant now) { next_attempt_ = now; }
    [[nodiscard]] instant next_attempt() const { return next_attempt_; }

    [[nodiscard]] std::vector<backend_connection>& rows() { return rows_; }

private:
    std::vector<backend_connection> rows_;
    duration minimum_;
    duration maximum_;
    std::uint64_t last_id_ = 0;
    unsigned failures_ = 0;
    instant next_attempt_;
    internal::jitter random_;
};

} // namespace radishspread::agent_internal

#endif
