#ifndef RADISHSPREAD_TESTS_STANDINS_RS_CALLER_FLEET_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_CALLER_FLEET_HPP

#include <radishspread/runtime/rs_fd_watch.hpp>
#include <radishspread/wire/rs_codec.hpp>

#include <standins/rs_caller_flow.hpp>
#include <standins/rs_fabric.hpp>
#include <standins/rs_loop.hpp>
#include <standins/rs_run_history.hpp>
#include <standins/rs_socket.hpp>
#include <standins/rs_traffic_totals.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <random>
#include <unordered_map>
#include <vector>

namespace radishspread::standins {

/// Load that the callers generate for one service.
struct service_traffic {
    service_id service = 0;
    std::uint16_t port = 0;
    std::size_t long_flows = 0;
    double short_flows_per_second = 0;
    duration request_interval =
        std::chrono::seconds(2); ///< Mean, of a long flow.
    std::uint32_t work_ms = 10;
    std::uint32_t max_answer_size = 4096; ///< Bytes.
    double idempotent_share = 0.5;
    duration deadline = std::chrono::seconds(5);
};

/// Simulates many callers over a few UDP sockets. Each answer is compared with
/// the expected answer to the request.
class caller_fleet : public flow_owner {
public:
    /// Returns true if a flow with this cookie is allowed to be lost, for
    /// example because its agent was killed.
    using loss_predicate = std::function<bool(route_cookie const&)>;

    caller_fleet(fabric& network, std::uint32_t address, std::size_t sockets,
        std::uint64_t seed, loss_predicate may_be_lost);

    /// Opens the long flows and starts generating load.
    void start(std::vector<service_traffic> traffic);
    /// While paused, no short flow is started and long flows send no new
    /// requests. Short flows that have started, and outstanding requests,
    /// continue.
    void pause_load(bool paused) { is_paused_ = paused; }

    [[nodiscard]] traffic_totals const& totals() const { return totals_; }
    [[nodiscard]] std::size_t outstanding() const;
    /// Number of long flows that are currently open.
    [[nodiscard]] std::size_t open_flows() const;
    /// Number of long flows without an answer since `from`.
    [[nodiscard]] std::size_t unanswered_flows(instant from) const;
    /// Counts the long flows without an answer since `from` as broken.
    void count_unanswered_as_broken(instant from);
    /// Number of requests that were reported as not run to their callers, but
    /// were run by a backend server.
    [[nodiscard]] std::size_t false_refusals(run_history const& history) const;
    /// Number of open long flows whose agent has the address `agent`.
    [[nodiscard]] std::size_t flows_at(endpoint agent) const;
    /// Number of open long flows whose agent is in the failure domain.
    [[nodiscard]] std::size_t flows_in(domain_id domain) const;

    void send(caller_flow& flow, caller_packet const& packet) override;
    void finished(caller_flow& flow, request_text const& request,
        finished_request const& result) override;
    void lost(caller_flow& flow, reason why) override;

private:
    void receive(std::size_t socket);
    void handle_reply(
        std::size_t socket, endpoint from, caller_reply const& reply);
    void tick();
    [[nodiscard]] static bool is_finished(caller_flow const& flow, instant now);
    void start_short_flows(instant now);
    void send_due_request(caller_flow& flow, instant now);
    caller_flow& add_flow(
        service_traffic const& traffic, bool is_long, instant now);
    [[nodiscard]] service_traffic const& traffic_of(
        caller_flow const& flow) const;
    [[nodiscard]] request_text make_request(service_traffic const& traffic);
    [[nodiscard]] duration jittered(duration mean);

    fabric& network_;
    loss_predicate may_be_lost_;
    std::mt19937_64 random_;
    wire::encoder encoder_;
    std::vector<service_traffic> traffic_;
    std::vector<unique_fd> sockets_;
    std::vector<runtime::fd_watch> watches_;
    std::list<caller_flow> flows_;
    std::unordered_map<flow_id, caller_flow*> active_flows_;
    std::unordered_map<flow_id, std::size_t>
        flow_sockets_; ///< Includes ended flows.
    std::vector<std::uint64_t> reported_not_run_;
    traffic_totals totals_;
    std::uint64_t last_identity_ = 0;
    instant last_tick_{};
    bool is_paused_ = false;
    source_handle timer_;
};

} // namespace radishspread::standins

#endif
