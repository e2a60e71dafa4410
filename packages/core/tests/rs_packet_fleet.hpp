#ifndef RADISHSPREAD_CORE_TESTS_RS_PACKET_FLEET_HPP
#define RADISHSPREAD_CORE_TESTS_RS_PACKET_FLEET_HPP

#include "rs_packet_sink.hpp"

#include <radishspread/core/rs_packet_agent.hpp>
#include <radishspread/core/rs_packet_balancer.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace radishspread::test {

/// Balancer and agent cores with simulated backend servers, connected by a
/// network that delivers each message after a millisecond. All processes follow
/// the same configuration.
class packet_fleet {
public:
    packet_fleet() = default;
    packet_fleet(packet_fleet const&) = delete;
    packet_fleet& operator=(packet_fleet const&) = delete;

    /// Adds a balancer; returns its number.
    std::size_t add_balancer() {
        balancers_.emplace_back(std::make_unique<balancer_process>(*this));
        restart_balancer(balancers_.size() - 1);
        return balancers_.size() - 1;
    }

    /// Replaces the process by a new one, which knows only the configuration.
    void restart_balancer(std::size_t n) {
        auto& it = *balancers_[n];
        it.address = {.address = 0x0a010000U + static_cast<std::uint32_t>(n),
            .port = agent_port};
        it.core.emplace(packet_balancer_options{
            .domain = test_domain, .agent_port = agent_port, .seed = ++seed_});
        it.core->start(now(), it);
        read_configuration(it);
        it.core->view_confirmed(now(), now(), it);
    }

    /// Adds a backend server of the service and its agent, both just started.
    void add_backend(std::uint32_t n, std::uint32_t service) {
        auto& it = agents_[n];
        it = std::make_unique<agent_process>(*this);
        it->number = n;
        it->service = service;
        auto item = announcement_of(n, ++revision_);
        auto& content = std::get<backend_announcement>(item.content);
        content.service = service;
        content.slots = slots;
        start_agent(n, content.start_unix_ms);
        publish(item);
    }

    /// Replaces the agent's process. The new one cannot tell which flows its
    /// backend server holds.
    void restart_agent(std::uint32_t n) { start_agent(n, later_unix_ms); }

    /// Removes the backend server, its agent and the announcement.
    void remove_backend(std::uint32_t n) {
        agents_.erase(n);
        publish({.name = announcement_of(n, 0).name, .revision = ++revision_});
    }

    /// Publishes routes in which `service_address` leads to the service; 0: to
    /// none.
    void publish_route(std::uint32_t service) {
        auto item = routes_of(++version_, ++revision_);
        auto& content = std::get<route_set>(item.content);
        if (service == 0)
            content.routes.clear();
        else
            content.routes[0].service = service;
        publish(item);
    }

    /// Lets each process learn of later changes up to `ms` milliseconds late.
    void delay_changes(int ms, std::uint64_t seed) {
        max_delay_ms_ = ms;
        random_.seed(seed);
    }

    void open(packet_flow const& flow, std::size_t through) {
        send(opening_packet(flow), through);
    }

    /// Sends a request of the caller on the flow.
    void request(packet_flow const& flow, std::size_t through) {
        auto packet = caller_packet_of(flow, handshake + 1);
        packet.payload_size = 10;
        packet.sequence = ++sequence_;
        send(packet, through);
    }

    /// Sends every process a message that names a version of the routes, in
    /// the name of a process of the other role.
    void claim_version(std::uint64_t version) {
        for (auto const& to : balancers_)
            network_.push_back({.due = now(),
                .from = agents_.begin()->second->address,
                .to = to->address,
                .message = {.kind = agent_packet_kind::queued,
                    .route_version = version}});
        for (auto const& [n, to] : agents_)
            network_.push_back({.due = now(),
                .from = balancers_.front()->address,
                .to = to->address,
                .message = {.kind = agent_packet_kind::list,
                    .route_version = version}});
    }

    /// Lets `ms` milliseconds pass.
    void run_for(int ms) {
        for (int n = 0; n != ms; ++n)
            step();
    }

    /// Number of the backend server that holds the flow.
    [[nodiscard]] std::optional<std::uint32_t> holder_of(
        packet_flow const& flow) const {
        for (auto const& [n, it] : agents_)
            if (it->flows.contains(flow))
                return n;
        return std::nullopt;
    }
    [[nodiscard]] std::size_t responses_to(packet_flow const& flow) const {
        auto const it = responses_.find(flow);
        return it == responses_.end() ? 0 : it->second;
    }
    [[nodiscard]] bool was_reset(packet_flow const& flow) const {
        return resets_.contains(flow);
    }
    /// Packets that the backend server received of flows that it does not hold.
    [[nodiscard]] std::size_t foreign_packets(std::uint32_t n) const {
        return agents_.at(n)->foreign_packets;
    }
    /// Looks at another process for newer routes.
    [[nodiscard]] std::size_t looks() const { return looks_; }
    /// Messages that the balancers have sent to agents.
    [[nodiscard]] std::size_t messages() const { return messages_; }

private:
    static constexpr std::uint16_t slots = 100;
    static constexpr std::uint32_t handshake = 100;
    static constexpr std::uint64_t later_unix_ms = 1'000'000;
    static constexpr int read_time_ms = 4;

    struct datagram {
        instant due;
        endpoint from;
        endpoint to;
        agent_packet message;
        std::vector<std::byte> bytes;
    };

    /// Actions that both roles have in common; also their sink.
    struct process {
        explicit process(packet_fleet& owner) : fleet(owner) {}

        void send(endpoint to, agent_packet const& message) {
            fleet.network_.push_back(
                {.due = fleet.now() + std::chrono::milliseconds(1),
                    .from = address,
                    .to = to,
                    .message = message,
                    .bytes = {message.packet.begin(), message.packet.end()}});
        }
        void send_caller(
            packet_flow const& flow, std::span<std::byte const> bytes) {
            if (!fleet.decode(bytes).is_opening_reply)
                ++fleet.responses_[flow];
        }
        void reset_caller(packet_flow const& flow, std::uint32_t) {
            fleet.resets_.insert(flow);
        }
        void refresh_view() {}
        void refresh_members() { read_started = fleet.now(); }
        void catch_up(endpoint) {
            ++fleet.looks_;
            look_started = fleet.now();
        }
        void log(packet_log const&) {}

        packet_fleet& fleet;
        endpoint address;
        instant read_started; ///< Default: no read in progress.
        instant look_started; ///< Default: no look at a peer in progress.
    };

    struct balancer_process : process {
        using process::process;

        void send(endpoint to, agent_packet const& message) {
            ++fleet.messages_;
            process::send(to, message);
        }
        void send_backend(std::span<std::byte const>) {}

        std::optional<packet_balancer> core;
    };

    struct agent_process : process {
        using process::process;

        void send_backend(std::span<std::byte const> bytes) {
            fleet.to_backend_.emplace_back(number, fleet.decode(bytes));
        }

        std::uint32_t number = 0;
        std::uint32_t service = 0;
        std::optional<packet_agent> core;
        /// Flows that the backend server holds, with the sequence number of the
        /// last request.
        std::unordered_map<packet_flow, std::uint32_t, packet_flow_hash> flows;
        std::size_t foreign_packets = 0;
    };

    [[nodiscard]] instant now() const { return at(now_ms_); }

    void start_agent(std::uint32_t n, std::uint64_t start_unix_ms) {
        auto& it = *agents_.at(n);
        it.address = agent_address(n);
        it.core.emplace(packet_agent_options{.service = it.service,
            .domain = test_domain,
            .backend = backend_address(n),
            .start_unix_ms = start_unix_ms});
        it.core->start(now(), it);
        read_configuration(it);
    }

    void publish(fleet_change const& item) {
        items_[item.name] = item;
        for (std::size_t n = 0; n != balancers_.size(); ++n)
            changes_.push_back(
                {.due = change_due(), .is_balancer = true, .number = n});
        for (auto const& [n, it] : agents_)
            changes_.push_back({.due = change_due(), .number = n});
        apply_due_changes();
    }

    [[nodiscard]] instant change_due() {
        auto const span = static_cast<std::uint64_t>(max_delay_ms_) + 1;
        return now() + std::chrono::milliseconds(random_() % span);
    }

    /// Lets each process that is due read the whole configuration.
    void apply_due_changes() {
        auto const batch = std::exchange(changes_, {});
        for (auto const& it : batch) {
            if (it.due > now())
                changes_.push_back(it);
            else if (it.is_balancer)
                read_configuration(*balancers_[it.number]);
            else if (agents_.contains(static_cast<std::uint32_t>(it.number)))
                read_configuration(
                    *agents_.at(static_cast<std::uint32_t>(it.number)));
        }
    }

    void read_configuration(balancer_process& it) {
        for (auto const& [name, item] : items_)
            it.core->view().apply(now(), item);
    }
    void read_configuration(agent_process& it) {
        for (auto const& [name, item] : items_)
            it.core->view().apply(now(), item);
        it.core->view_changed(now(), it);
    }

    /// Gives the packet bytes that identify it.
    flow_packet encode(flow_packet packet) {
        auto const index = packets_.size();
        auto& stored = packets_.emplace_back();
        std::memcpy(stored.bytes.data(), &index, sizeof index);
        packet.bytes = stored.bytes;
        stored.packet = packet;
        return packet;
    }
    [[nodiscard]] flow_packet decode(std::span<std::byte const> bytes) const {
        std::size_t index = 0;
        std::memcpy(&index, bytes.data(), sizeof index);
        return packets_.at(index).packet;
    }

    void send(flow_packet const& packet, std::size_t n) {
        auto& to = *balancers_[n];
        to.core->handle_caller(now(), encode(packet), to);
    }

    void step() {
        ++now_ms_;
        apply_due_changes();
        for (auto const& it : balancers_) {
            if (it->read_started != instant{} &&
                now() - it->read_started >=
                    std::chrono::milliseconds(read_time_ms)) {
                auto const started = std::exchange(it->read_started, {});
                it->core->view_confirmed(now(), started, *it);
            }
            if (ends_look(*it)) {
                read_configuration(*it);
                it->core->view_confirmed(now(), {}, *it);
            }
            it->core->tick(now(), *it);
        }
        for (auto const& [n, it] : agents_) {
            if (ends_look(*it))
                read_configuration(*it);
            it->core->tick(now(), *it);
        }
        while (!network_.empty() && network_.front().due <= now()) {
            auto const next = std::move(network_.front());
            network_.pop_front();
            deliver(next);
        }
        auto const batch = std::exchange(to_backend_, {});
        for (auto const& [n, packet] : batch)
            serve(n, packet);
    }

    /// True if the process's look at a peer ends now.
    [[nodiscard]] bool ends_look(process& it) const {
        if (it.look_started == instant{} ||
            now() - it.look_started < std::chrono::milliseconds(read_time_ms))
            return false;
        it.look_started = {};
        return true;
    }

    void deliver(datagram const& it) {
        auto message = it.message;
        message.packet = it.bytes;
        std::optional<flow_packet> packet;
        if (!it.bytes.empty() && message.kind != agent_packet_kind::listed)
            packet = decode(it.bytes);
        auto const* decoded = packet ? &*packet : nullptr;
        for (auto const& to : balancers_)
            if (to->address == it.to)
                to->core->handle(now(), it.from, message, decoded, *to);
        for (auto const& [n, to] : agents_)
            if (to->address == it.to)
                to->core->handle(now(), it.from, message, decoded, *to);
    }

    /// Lets the backend server handle a packet.
    void serve(std::uint32_t n, flow_packet const& packet) {
        auto const found = agents_.find(n);
        if (found == agents_.end())
            return;
        auto& it = *found->second;
        auto const flow = packet.from_caller();
        if (packet.is_opening) {
            it.flows.emplace(flow, 0);
            auto reply = encode(opening_reply_of(flow, handshake));
            return it.core->handle_backend(now(), reply, it);
        }
        auto const held = it.flows.find(flow);
        if (held == it.flows.end()) {
            ++it.foreign_packets;
            return it.core->handle_backend(now(), encode(returned(packet)), it);
        }
        bool const is_new = packet.sequence > held->second;
        held->second = std::max(held->second, packet.sequence);
        if (is_new)
            it.core->handle_backend(now(), encode(backend_packet_of(flow)), it);
    }

    struct stored_packet {
        flow_packet packet;
        std::array<std::byte, sizeof(std::size_t)> bytes{};
    };

    /// A process that learns of a change.
    struct pending_change {
        instant due;
        bool is_balancer = false;
        std::size_t number = 0;
    };

    int now_ms_ = 0;
    int max_delay_ms_ = 0;
    std::mt19937_64 random_;
    std::vector<pending_change> changes_;
    std::uint64_t seed_ = 0;
    revision revision_ = 0;
    std::uint64_t version_ = 0;
    std::uint32_t sequence_ = 0;
    std::size_t messages_ = 0;
    std::size_t looks_ = 0;
    std::map<std::string, fleet_change> items_;
    std::vector<std::unique_ptr<balancer_process>> balancers_;
    std::map<std::uint32_t, std::unique_ptr<agent_process>> agents_;
    std::deque<datagram> network_;
    std::vector<std::pair<std::uint32_t, flow_packet>> to_backend_;
    std::deque<stored_packet> packets_;
    std::unordered_map<packet_flow, std::size_t, packet_flow_hash> responses_;
    std::unordered_set<packet_flow, packet_flow_hash> resets_;
};

} // namespace radishspread::test

#endif
