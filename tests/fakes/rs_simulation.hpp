#ifndef RADISHSPREAD_TESTS_FAKES_RS_SIMULATION_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_SIMULATION_HPP

#include <fakes/rs_action_filter.hpp>
#include <fakes/rs_deployment.hpp>
#include <fakes/rs_event_queue.hpp>
#include <fakes/rs_fake_backend.hpp>
#include <fakes/rs_fake_caller.hpp>
#include <fakes/rs_fake_configuration.hpp>
#include <fakes/rs_observation.hpp>
#include <fakes/rs_packet_faults.hpp>
#include <fakes/rs_process.hpp>
#include <fakes/rs_simulation_observer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <vector>

namespace radishspread::fakes {

/// Steps of one caller's flow and request, as observed in its packets.
enum class milestone : std::uint8_t {
    opening,    ///< The caller sent an opening.
    passed_on,  ///< An agent forwarded the opening to another agent.
    queued,     ///< An agent received a request and has not dispatched it.
    dispatched, ///< An agent dispatched a request.
    answering,  ///< An agent sent a part of an answer other than the last.
    answered,   ///< The request has ended at the caller.
    closing,    ///< The caller closes the flow.
};

/// Simulated fleet in virtual time: the cores of balancers and agents,
/// connected by queues of datagrams, with fake callers and backend servers.
class simulation {
public:
    using milestone_handler = std::function<void(endpoint, milestone)>;

    simulation(deployment fleet, std::uint64_t seed, action_filter& filter);
    ~simulation();
    simulation(simulation const&) = delete;
    simulation& operator=(simulation const&) = delete;

    event_queue queue;
    observations log;
    fake_configuration configuration{queue};
    packet_faults faults;
    milestone_handler on_milestone;
    /// Upper limit of the delay after which a reader is notified of an edit.
    /// Each reader gets a random delay of its own.
    duration max_watch_delay{0};

    [[nodiscard]] deployment const& fleet() const { return fleet_; }
    [[nodiscard]] simulation_observer& observer() { return *observer_; }
    /// `it` must outlive this object.
    void set_observer(simulation_observer& it) { observer_ = &it; }
    std::mt19937_64& random() { return random_; }
    action_filter& filter() { return filter_; }

    /// Runs processes and callers up to `end`.
    void run_until(instant end);

    // Processes.
    void add_balancer(std::uint32_t number);
    void add_agent(backend_id id);
    void kill(endpoint process);
    void stop(endpoint process, duration deadline);
    void pause(endpoint process);
    void resume(endpoint process);
    void restart(endpoint process);
    /// Partitions the network: processes of different groups cannot reach each
    /// other, and only group 0 reaches the configuration service.
    void set_group(endpoint process, int group);
    [[nodiscard]] process* find(endpoint it);
    [[nodiscard]] std::vector<endpoint> endpoints(bool balancers) const;
    [[nodiscard]] fake_backend& backend(backend_id id);
    [[nodiscard]] backend_id backend_of(endpoint agent) const;
    [[nodiscard]] domain_id domain_of(endpoint agent) const;

    // Callers.
    fake_caller& add_caller(service_id service, bool is_long);
    /// Adds a caller with the given options; the simulation sets its address.
    fake_caller& add_caller(fake_caller_options options);
    [[nodiscard]] fake_caller* caller_at(endpoint it);
    [[nodiscard]] std::vector<fake_caller*> long_callers();
    void send_from_caller(
        service_id service, endpoint caller, caller_packet const& packet);
    void send_to_caller(
        process& from, endpoint caller, caller_reply const& reply);
    void notify_milestone(endpoint caller, milestone what);
    void notify_request_milestone(identity id, milestone what);
    identity next_identity() { return ++identities_ * 8; }

    // Configuration changes made by operators.
    void set_domain(domain_id id, bool is_out);
    void drain(backend_id id, bool is_draining);
    void set_leaving(backend_id id, bool is_leaving);
    void edit_domains();

    // Used by the processes.
    void send_datagram(
        process& from, endpoint to, std::span<std::byte const> data);
    void observe_stamp(process& from, stamp const& it);
    void observe_forward(process& from, endpoint to, forward const& it);
    [[nodiscard]] bool can_reach(process const& a, process const& b) const;
    [[nodiscard]] duration delay(process const& a, process const& b) const;
    void record(observation it);

private:
    void remove(endpoint process);
    void start_process(std::unique_ptr<process> it);
    void deliver_datagram(
        endpoint from, endpoint to, std::vector<std::byte> const& data);
    void tick(endpoint it, std::uint64_t generation);
    /// Delivers a caller's packet to a random balancer of `fabric_`.
    void spray(service_id service, endpoint caller,
        std::vector<std::byte> const& data);

    deployment fleet_;
    std::mt19937_64 random_;
    action_filter& filter_;
    simulation_observer ignore_;
    simulation_observer* observer_ = &ignore_;
    std::map<backend_id, std::unique_ptr<fake_backend>> backends_;
    /// Declared after `backends_`, which agents use until they are destroyed.
    std::map<endpoint, std::unique_ptr<process>> processes_;
    std::map<endpoint, std::unique_ptr<fake_caller>> callers_;
    /// Balancers over which the network fabric sprays the callers' packets.
    std::vector<endpoint> fabric_;
    std::map<endpoint, std::int64_t> last_stamp_;
    std::map<domain_id, bool> domains_out_;
    std::uint64_t identities_ = 0;
    std::uint64_t last_generation_ = 0;
    std::uint32_t next_caller_ = 0;
};

} // namespace radishspread::fakes

#endif
