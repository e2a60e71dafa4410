#ifndef RADISHSPREAD_TESTS_FAKES_RS_FAKE_CALLER_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_FAKE_CALLER_HPP

#include <fakes/rs_observation.hpp>
#include <fakes/rs_payload.hpp>
#include <radishspread/caller/rs_caller_session.hpp>

#include <map>
#include <optional>

namespace radishspread::fakes {

class simulation;

/// Settings of a fake caller.
struct fake_caller_options {
    service_id service = 0;
    endpoint address;
    bool is_long = false; ///< Keeps its flow open and reopens it if lost.
    duration pause = std::chrono::milliseconds(1500); ///< Between requests.
    std::uint32_t requests = 1; ///< Sent on a short flow before it closes.
    duration deadline = std::chrono::seconds(4); ///< Of one request.
    /// Continues as soon as a reply arrives instead of at the next tick, which
    /// would synchronise all callers.
    bool continues_on_reply = false;
    bool retries = true; ///< Resends a request that ended as "not run".
};

/// Simulated caller with one flow at a time. Like real callers, it resends a
/// request that ended as "not run"; if the request did run, the second run
/// shows that the result was wrong.
class fake_caller {
public:
    fake_caller(simulation& owner, fake_caller_options options);

    void open();
    void send_request(
        bool idempotent, std::uint32_t answer_size, bool is_last_check = false);
    void close();
    void handle(std::span<std::byte const> datagram);
    void tick();

    [[nodiscard]] bool is_open() const {
        return session_ && session_->is_open();
    }
    [[nodiscard]] std::optional<route_cookie> cookie() const;
    [[nodiscard]] fake_caller_options const& options() const {
        return options_;
    }
    [[nodiscard]] std::uint32_t flow() const { return flow_; }
    [[nodiscard]] bool is_finished() const { return is_finished_; }

    /// True if `id` is a request of the current flow.
    [[nodiscard]] bool has_request(identity id) const;

    // Actions of `caller_session`, called by the session.
    void send(caller_packet const& packet);
    void finished(finished_request& it);
    void flow_lost(reason why);

private:
    struct sent_request {
        request_payload payload;
        bool idempotent = false;
        bool is_last_check = false;
    };

    void start(sent_request const& it);
    void next_request();
    void continue_flow();
    void record_new_cookie();
    [[nodiscard]] observation make(
        observation_kind what, identity id = 0) const;

    simulation& simulation_;
    fake_caller_options options_;
    std::optional<caller_session> session_;
    std::map<request_id, sent_request> sent_;
    std::optional<route_cookie> recorded_cookie_;
    std::uint32_t flow_ = 0;
    std::uint32_t requests_sent_ = 0;
    instant next_request_at_;
    instant reopen_at_;
    bool is_lost_ = false;
    bool is_finished_ = false;
};

} // namespace radishspread::fakes

#endif
