#ifndef RADISHSPREAD_TESTS_STANDINS_RS_TEST_FLEET_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_TEST_FLEET_HPP

#include <standins/rs_backend_server.hpp>
#include <standins/rs_caller_fleet.hpp>
#include <standins/rs_child_process.hpp>
#include <standins/rs_configuration_service.hpp>
#include <standins/rs_deployment_plan.hpp>

#include <deque>
#include <filesystem>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace radishspread::standins {

/// A complete deployment on loopback. The real binaries run as child processes;
/// stand-ins for the outside systems run in this process. Each fleet has its
/// own address block 127.a.b.0/24, so that fleets can run in parallel.
class test_fleet {
public:
    explicit test_fleet(deployment_plan plan, std::uint64_t seed = 1);
    test_fleet(test_fleet const&) = delete;
    test_fleet& operator=(test_fleet const&) = delete;
    ~test_fleet();

    /// Starts all processes and opens `long_flows` long flows. Load is divided
    /// among the services in proportion to their numbers of backend servers.
    void start(std::size_t long_flows, duration request_interval,
        double short_flows_per_second);
    /// Starts one more balancer and returns its index.
    std::size_t add_balancer();
    void kill_balancer(std::size_t n);
    /// Sends all further packets of the callers to this balancer.
    void use_only_balancer(std::size_t n);
    /// Kills the agent with SIGKILL; its flows are then allowed to be lost.
    void kill_agent(std::size_t n);

    // Edits of the document.
    void set_domain_out(domain_id domain, bool out);
    void set_draining(std::size_t backend, bool draining);
    void set_leaving(std::size_t backend, bool leaving);

    [[nodiscard]] backend_entry const& entry(std::size_t backend) const;
    [[nodiscard]] child_process& balancer(std::size_t n) {
        return *balancers_.at(n);
    }
    [[nodiscard]] child_process& agent(std::size_t n) { return *agents_.at(n); }
    [[nodiscard]] std::size_t backends() const { return backends_.size(); }
    [[nodiscard]] static fleet_key key();
    [[nodiscard]] backend_server& backend(std::size_t n) {
        return backends_.at(n);
    }
    [[nodiscard]] section_store& document() { return store_; }
    /// Balancers and agents with an even index use replica 0, the others
    /// replica 1.
    [[nodiscard]] configuration_service& replica(std::size_t n) {
        return *replicas_.at(n);
    }
    [[nodiscard]] fabric& network() { return network_; }
    [[nodiscard]] caller_fleet& callers() { return *callers_; }
    [[nodiscard]] run_history const& history() const { return history_; }

    /// Waits until every long flow has received an answer after the start of
    /// this call. Returns false if that takes longer than `timeout`.
    bool wait_until_all_answered(duration timeout);
    /// Number of requests that were reported as not run to their callers, but
    /// were run by a backend server.
    [[nodiscard]] std::size_t false_refusals() const;
    /// Lists the violated promises (docs/promises.md) with their counts; empty
    /// if there are none.
    [[nodiscard]] std::string violations() const;

private:
    void publish(service_section const& section);
    void publish_hosts(domain_id domain);
    void start_agent(std::size_t n);
    [[nodiscard]] std::string settings_text(std::string const& name,
        std::uint32_t address, domain_id domain, std::size_t index) const;
    [[nodiscard]] std::unique_ptr<child_process> spawn(
        std::string const& binary, std::string const& name,
        std::string const& settings) const;
    [[nodiscard]] bool may_be_lost(route_cookie const& cookie) const;
    [[nodiscard]] std::string domain_name(domain_id domain) const;

    deployment_plan plan_;
    std::uint32_t block_;
    std::filesystem::path directory_;
    document_sections sections_;
    section_store store_;
    run_history history_;
    std::vector<std::unique_ptr<configuration_service>> replicas_;
    std::deque<backend_server> backends_;
    fabric network_;
    std::unique_ptr<caller_fleet> callers_;
    std::vector<std::unique_ptr<child_process>> balancers_;
    std::vector<std::unique_ptr<child_process>> agents_;
    std::set<std::size_t> leaving_;
    std::vector<endpoint> killed_agents_;
    /// When each failure domain was last set back in.
    std::vector<instant> returned_at_;
};

} // namespace radishspread::standins

#endif
