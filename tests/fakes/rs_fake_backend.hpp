#ifndef RADISHSPREAD_TESTS_FAKES_RS_FAKE_BACKEND_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_FAKE_BACKEND_HPP

#include <fakes/rs_event_queue.hpp>
#include <fakes/rs_observation.hpp>
#include <radishspread/core/rs_backend_event.hpp>
#include <radishspread/core/rs_backend_request.hpp>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace radishspread::fakes {

/// Settings of a fake backend server.
struct fake_backend_options {
    backend_id id = 0;
    service_id service = 0;
    domain_id domain = 0;
    std::uint32_t slots = 1;
    duration run_time = std::chrono::milliseconds(60);
    std::uint64_t seed = 0;
};

/// Simulated backend server that runs requests and records each run. It can be
/// cold (slower, with less capacity), shed load, crash, or become unresponsive.
class fake_backend {
public:
    using event_handler =
        std::function<void(backend_event const&, std::vector<std::byte>)>;

    fake_backend(
        event_queue& queue, observations& log, fake_backend_options options);

    // Calls of the agent. Events of the connection are passed to `handler`.
    void connect(std::uint64_t connection, event_handler handler);
    void disconnect();
    void ping();
    void dispatch(backend_request const& request);
    void cancel(dispatch_id id);

    /// Makes the server cold without closing the connection.
    void set_cold() {
        finished_since_cold_ = 0;
        is_cold_ = true;
    }
    /// Rejects each request until `end`, alternately with a 503 response and a
    /// refusal.
    void shed_until(instant end) { shed_until_ = end; }
    /// Loses all runs and the connection, and accepts no new one until `end`.
    void crash_until(instant end);
    /// Makes the current connection deliver no more events; a new one works.
    void make_unresponsive();
    /// Number of requests that are running.
    [[nodiscard]] std::uint32_t occupied() const;
    /// Number of requests that the server can run at the same time.
    [[nodiscard]] std::uint32_t capacity() const;
    [[nodiscard]] bool is_cold() const;
    [[nodiscard]] fake_backend_options const& options() const {
        return options_;
    }
    /// Requests of the runs that would be aborted if the agent stopped now.
    [[nodiscard]] std::vector<identity> running() const;

private:
    /// One run. Runs have numbers of their own, because each agent process
    /// counts its dispatch ids from the start.
    struct run {
        identity id = 0;
        dispatch_id dispatch = 0;
        std::uint64_t session = 0;
    };

    void report(std::uint64_t session, backend_event event,
        std::vector<std::byte> body = {});
    void end_run(std::uint64_t number, std::vector<std::byte> body);
    void reject(dispatch_id id);
    [[nodiscard]] duration run_duration();

    event_queue& queue_;
    observations& log_;
    fake_backend_options options_;
    std::mt19937_64 random_;
    event_handler handler_;
    std::uint64_t session_ = 0;    ///< Number of the current connection.
    std::uint64_t connection_ = 0; ///< The agent's number for it.
    std::uint64_t unresponsive_session_ = 0;
    std::uint64_t crashed_session_ = 0;        ///< Session that a crash ended.
    std::vector<dispatch_id> lost_dispatches_; ///< Not yet reported as lost.
    std::uint64_t next_run_ = 0;
    std::map<std::uint64_t, run> runs_;
    bool is_cold_ = true;
    std::uint32_t finished_since_cold_ = 0;
    instant shed_until_;
    instant crashed_until_;
    std::uint32_t shed_count_ = 0;
};

} // namespace radishspread::fakes

#endif
