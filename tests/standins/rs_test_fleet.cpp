#include <standins/rs_test_fleet.hpp>

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace radishspread::standins {

namespace {

constexpr std::uint32_t loopback = 127U << 24U;
constexpr std::uint16_t peer_port = 9000;
constexpr std::uint16_t backend_port = 8080;
constexpr std::uint16_t configuration_port = 8500;
// Last bytes of the addresses within the address block of a fleet.
constexpr std::uint32_t first_replica = 1;
constexpr std::uint32_t first_balancer = 11;
constexpr std::uint32_t first_backend = 101;
constexpr std::uint32_t callers_host = 200;
constexpr std::size_t replica_count = 2;
constexpr std::size_t caller_sockets = 16;
/// Time within which processes may still treat a failure domain as out after it
/// was set back in.
constexpr duration domain_propagation_limit = std::chrono::seconds(10);

/// Returns an address block whose configuration port is free at the first
/// replica's address. The search starts at a block derived from the process id,
/// so that parallel test processes rarely collide.
std::uint32_t free_block() {
    constexpr std::uint32_t blocks = 50000;
    auto n = static_cast<std::uint32_t>(getpid());
    for (std::uint32_t attempt = 0; attempt < blocks; ++attempt, ++n) {
        auto const block = loopback + (1U << 20U) + (n % blocks) * 256;
        try {
            auto const probe =
                listen_tcp({block + first_replica, configuration_port});
            return block;
        } catch (std::system_error const&) {
            continue;
        }
    }
    throw std::runtime_error("no free block of loopback addresses");
}

std::string address_text(std::uint32_t address) {
    auto const text = to_string(endpoint{address, 1});
    return text.substr(0, text.find(':'));
}

std::filesystem::path make_directory() {
    // mkdtemp() replaces the six trailing letters.
    auto name = (std::filesystem::temp_directory_path() /
                 ("radishspread-" + std::string(6, 'X')))
                    .string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    return name;
}

} // namespace

test_fleet::test_fleet(deployment_plan plan, std::uint64_t seed)
    : plan_(std::move(plan)), block_(free_block()),
      directory_(make_directory()),
      sections_(make_sections(plan_, block_, peer_port)), network_(seed),
      returned_at_(sections_.domains.failure_domains.size()) {
    for (std::uint32_t n = 0; n < replica_count; ++n)
        replicas_.push_back(std::make_unique<configuration_service>(
            store_, endpoint{block_ + first_replica + n, configuration_port}));
    store_.edit("domains", to_yaml(sections_.domains));
    for (auto const& service : sections_.services) {
        publish(service);
        for (auto const& entry : service.backend_servers)
            backends_.emplace_back(
                backend_server_options{entry.name,
                    {block_ + first_backend + entry.id - 1, backend_port},
                    service.id, entry.id, entry.domain, entry.slots},
                history_);
    }
    for (auto const& domain : sections_.domains.failure_domains)
        publish_hosts(domain.id);
    callers_ = std::make_unique<caller_fleet>(network_, block_ + callers_host,
        caller_sockets, seed,
        [this](auto const& cookie) { return may_be_lost(cookie); });
}

test_fleet::~test_fleet() {
    balancers_.clear();
    agents_.clear();
    std::error_code ec;
    std::filesystem::remove_all(directory_, ec);
}

void test_fleet::start(std::size_t long_flows, duration request_interval,
    double short_flows_per_second) {
    for (auto& backend : backends_)
        backend.set_cold();
    for (std::size_t n = 0; n < plan_.balancers; ++n)
        add_balancer();
    for (std::size_t n = 0; n < backends_.size(); ++n)
        start_agent(n);
    std::vector<service_traffic> traffic;
    for (std::size_t n = 0; n < plan_.services.size(); ++n) {
        auto const& plan = plan_.services[n];
        auto const share = static_cast<double>(plan.backend_servers) /
                           static_cast<double>(backends_.size());
        traffic.push_back({
            .service = sections_.services[n].id,
            .port = sections_.services[n].port,
            .long_flows = static_cast<std::size_t>(
                std::lround(static_cast<double>(long_flows) * share)),
            .short_flows_per_second = short_flows_per_second * share,
            .request_interval = request_interval,
            .work_ms = plan.work_ms,
            .max_answer_size = plan.max_answer_size,
            .idempotent_share = plan.idempotent_share,
        });
    }
    callers_->start(std::move(traffic));
}

std::size_t test_fleet::add_balancer() {
    auto const n = balancers_.size();
    auto const address =
        block_ + first_balancer + static_cast<std::uint32_t>(n);
    auto const name = "balancer-" + std::to_string(n + 1);
    auto const domain = static_cast<domain_id>(n % returned_at_.size() + 1);
    balancers_.push_back(spawn(RADISHSPREAD_BALANCER, name,
        "role: balancer\n" + settings_text(name, address, domain, n)));
    network_.add(address);
    return n;
}

void test_fleet::start_agent(std::size_t n) {
    auto const& it = entry(n);
    std::ostringstream text;
    text << "role: agent\n"
         << settings_text("agent-" + it.name, it.agent.address, it.domain, n)
         << "service: "
         << sections_.services[backends_[n].options().service - 1].name
         << "\nbackend_server: " << it.id
         << "\nbackend_address: " << to_string(backends_[n].options().address)
         << '\n';
    agents_.push_back(
        spawn(RADISHSPREAD_AGENT, "agent-" + it.name, text.str()));
}

std::string test_fleet::settings_text(std::string const& name,
    std::uint32_t address, domain_id domain, std::size_t index) const {
    auto const replica =
        static_cast<std::uint32_t>(index % replica_count) + first_replica;
    std::ostringstream text;
    text << "name: " << name << "\nfailure_domain: " << domain_name(domain)
         << "\naddress: " << address_text(address)
         << "\npeer_port: " << peer_port << "\nmetrics_port: 0"
         << "\nconfiguration_service: "
         << to_string(endpoint{block_ + replica, configuration_port})
         << "\nkey: 00112233445566778899aabbccddeeff\npeers:\n";
    for (std::uint32_t n = 0; n < plan_.balancers; ++n) {
        endpoint const peer{block_ + first_balancer + n, peer_port};
        if (peer.address != address)
            text << "  - " << to_string(peer) << '\n';
    }
    return text.str();
}

std::unique_ptr<child_process> test_fleet::spawn(std::string const& binary,
    std::string const& name, std::string const& settings) const {
    auto const file = directory_ / (name + ".yaml");
    std::ofstream(file) << settings;
    return std::make_unique<child_process>(
        std::vector<std::string>{binary, "run", "--settings", file.string()},
        (directory_ / (name + ".log")).string());
}

void test_fleet::kill_balancer(std::size_t n) {
    balancers_.at(n)->signal(SIGKILL);
    network_.remove(block_ + first_balancer + static_cast<std::uint32_t>(n));
}

void test_fleet::use_only_balancer(std::size_t n) {
    for (std::uint32_t k = 0; k < balancers_.size(); ++k)
        network_.remove(block_ + first_balancer + k);
    network_.add(block_ + first_balancer + static_cast<std::uint32_t>(n));
}

void test_fleet::kill_agent(std::size_t n) {
    killed_agents_.push_back(entry(n).agent);
    agents_.at(n)->signal(SIGKILL);
}

void test_fleet::set_domain_out(domain_id domain, bool out) {
    sections_.domains.failure_domains.at(domain - 1U).is_out = out;
    if (!out)
        returned_at_.at(domain - 1U) = monotonic_now();
    store_.edit("domains", to_yaml(sections_.domains));
}

void test_fleet::set_draining(std::size_t backend, bool draining) {
    auto const id = backends_.at(backend).options().id;
    for (auto& service : sections_.services) {
        for (auto& it : service.backend_servers) {
            if (it.id != id)
                continue;
            it.is_draining = draining;
            publish(service);
        }
    }
}

void test_fleet::set_leaving(std::size_t backend, bool leaving) {
    if (leaving)
        leaving_.insert(backend);
    else
        leaving_.erase(backend);
    publish_hosts(entry(backend).domain);
}

void test_fleet::publish(service_section const& section) {
    store_.edit("service/" + section.name, to_yaml(section, sections_.domains));
}

void test_fleet::publish_hosts(domain_id domain) {
    std::ostringstream text;
    text << "hosts:\n";
    for (std::size_t n = 0; n < backends_.size(); ++n) {
        if (entry(n).domain == domain)
            text << "  - name: " << entry(n).name << "\n    state: "
                 << (leaving_.contains(n) ? "leaving" : "live") << '\n';
    }
    store_.edit("hosts/" + domain_name(domain), text.str());
}

backend_entry const& test_fleet::entry(std::size_t backend) const {
    for (auto const& service : sections_.services) {
        if (backend < service.backend_servers.size())
            return service.backend_servers[backend];
        backend -= service.backend_servers.size();
    }
    throw std::out_of_range("backend server index out of range");
}

fleet_key test_fleet::key() {
    fleet_key key;
    std::uint8_t next = 0;
    for (auto& byte : key.bytes)
        byte = std::exchange(next, static_cast<std::uint8_t>(next + 0x11));
    return key;
}

std::size_t test_fleet::false_refusals() const {
    return callers_->false_refusals(history_);
}

bool test_fleet::wait_until_all_answered(duration timeout) {
    auto const from = monotonic_now();
    return run_until(
        [&] { return callers_->unanswered_flows(from) == 0; }, timeout);
}

std::string test_fleet::violations() const {
    auto const& totals = callers_->totals();
    std::ostringstream out;
    auto const check = [&](char const* what, std::size_t n) {
        if (n > 0)
            out << what << ": " << n << "; ";
    };
    check("broken flows", totals.broken);
    if (totals.broken > 0)
        out << "last reason " << to_string(totals.last_broken_reason) << "; ";
    check("requests at a wrong service", history_.wrong_service());
    check("non-idempotent requests run twice", history_.run_twice());
    check("replies at a wrong caller", totals.wrong_caller);
    check("incomplete answers", totals.incomplete);
    check("run after \"not run\"", false_refusals());
    return out.str();
}

bool test_fleet::may_be_lost(route_cookie const& cookie) const {
    auto const n = cookie.domain - 1U;
    return std::count(killed_agents_.begin(), killed_agents_.end(),
               cookie.agent) > 0 ||
           sections_.domains.failure_domains.at(n).is_out ||
           monotonic_now() - returned_at_.at(n) < domain_propagation_limit;
}

std::string test_fleet::domain_name(domain_id domain) const {
    return sections_.domains.failure_domains.at(domain - 1U).name;
}

} // namespace radishspread::standins
