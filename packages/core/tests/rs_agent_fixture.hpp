#ifndef RADISHSPREAD_CORE_TESTS_RS_AGENT_FIXTURE_HPP
#define RADISHSPREAD_CORE_TESTS_RS_AGENT_FIXTURE_HPP

#include <radishspread/core/rs_agent.hpp>

#include <array>
#include <string>
#include <vector>

namespace radishspread::test {

/// A sent message with its destination.
template <class Message> struct sent {
    endpoint to;
    Message message;
};

/// A recorded dispatch. The payload of a request contains its flow.
struct recorded_dispatch {
    dispatch_id id = 0;
    request_id request = 0;
    flow_id flow = 0;
};

/// Sink that records the actions of an agent, without payloads.
struct agent_recorder {
    std::vector<sent<forward>> forwards;
    std::vector<sent<deliver>> replies;
    std::vector<sent<handover>> handovers;
    std::vector<sent<handover_reply>> handover_replies;
    std::vector<std::uint64_t> connects;
    std::vector<std::uint64_t> pings;
    std::vector<std::uint64_t> disconnects;
    std::vector<recorded_dispatch> dispatches;
    std::vector<dispatch_id> cancels;

    void read_section(std::string_view) {}
    void watch(std::uint64_t) {}
    void pull_section(endpoint, std::string_view) {}
    void pull_index(endpoint) {}
    void send_digest(endpoint, peer_digest const&) {}
    void section_in_effect(section_ptr const&) {}
    void discard_queued() {}
    void log(log_event const&) {}
    void send_forward(endpoint to, forward const& it) {
        forwards.push_back({to, it});
    }
    void send_deliver(endpoint to, deliver const& it) {
        replies.push_back({to, it});
    }
    void send_handover(endpoint to, handover const& it) {
        handovers.push_back({to, it});
    }
    void send_handover_reply(endpoint to, handover_reply const& it) {
        handover_replies.push_back({to, it});
    }
    void connect(std::uint64_t id) { connects.push_back(id); }
    void ping(std::uint64_t id) { pings.push_back(id); }
    void disconnect(std::uint64_t id) { disconnects.push_back(id); }
    void dispatch(std::uint64_t, backend_request const& it) {
        dispatches.push_back({.id = it.id,
            .request = it.request,
            .flow = std::to_integer<flow_id>(it.payload[0])});
    }
    void cancel(std::uint64_t, dispatch_id id) { cancels.push_back(id); }
};

inline constexpr service_id service = 7;
inline constexpr endpoint caller{0x7f000001, 4000};
inline constexpr endpoint balancer_endpoint{0x7f000002, 5000};
inline constexpr std::uint32_t slots = 8;

inline endpoint agent_endpoint(backend_id id) {
    return {0x7f000010 + id, 9000};
}

/// One agent of a service with three backend servers. The test supplies its
/// time, messages and events.
class agent_driver {
public:
    agent_recorder out;
    instant now;
    service_section entries{.name = "orders", .id = service, .port = 80};
    bool is_domain_out = false;

    explicit agent_driver(backend_id id, incarnation_id incarnation = 0,
        instant start = instant(std::chrono::seconds(100)))
        : now(start), id_(id), core_(options(id, incarnation)) {
        for (backend_id n = 1; n <= 3; ++n)
            entries.backend_servers.push_back({.name = "b" + std::to_string(n),
                .id = n,
                .domain = static_cast<domain_id>(n),
                .agent = agent_endpoint(n),
                .slots = slots,
                .connections = 10});
        core_.start(now, out);
        apply();
    }

    agent& core() { return core_; }
    backend_entry& entry() { return entries.backend_servers[id_ - 1]; }

    /// Publishes `entries` and `is_domain_out` as the next revision.
    void apply() {
        ++revision_;
        domains_section domains;
        domains.failure_domains.push_back({.name = "d",
            .id = static_cast<domain_id>(id_),
            .is_out = is_domain_out});
        publish("domains", domains);
        publish("service/orders", entries);
        core_.handle(now, watch_event{.index = revision_}, out);
    }

    void connect() { backend({.kind = backend_event_kind::connected}); }

    /// Reports an event on the newest connection.
    void backend(backend_event event) {
        event.connection = out.connects.back();
        event.max_streams = 100;
        core_.handle(now, event, out);
    }

    /// Reports a response to the dispatch `id`, or to the newest one if 0.
    void respond(std::span<std::byte const> body = {}, dispatch_id id = 0,
        std::uint16_t status = 200) {
        backend({.kind = backend_event_kind::responded,
            .id = id == 0 ? out.dispatches.back().id : id,
            .status = status,
            .body = body});
    }

    /// Advances the time in ticks of 50 ms.
    void wait(duration time) {
        for (auto const end = now + time; now < end;) {
            now += std::chrono::milliseconds(50);
            core_.tick(now, out);
        }
    }

    /// Runs requests until the admission bound has grown to all slots.
    void warm_up() {
        auto const cookie = open(99);
        for (request_id n = 1; n <= 4 * slots * slots; ++n) {
            request(cookie, 99, n);
            respond();
        }
        out.dispatches.clear();
        out.replies.clear();
    }

    void receive(forward const& message) { core_.handle(now, message, out); }

    static forward make_forward(caller_packet packet) {
        packet.service = service;
        return {.origin = {.sender = balancer_endpoint},
            .caller = caller,
            .reply_to = balancer_endpoint,
            .packet = packet};
    }

    /// Opens a flow and returns its cookie.
    route_cookie open(flow_id flow) {
        receive(make_forward({.kind = packet_kind::open, .flow = flow}));
        return out.replies.back().message.reply.cookie.value_or(route_cookie{});
    }

    static forward make_request(route_cookie const& cookie, flow_id flow,
        request_id id, bool idempotent = false) {
        // Static storage, because the packet only refers to its payload.
        static auto const numbers = [] {
            std::array<std::byte, 256> all{};
            for (std::size_t i = 0; i < all.size(); ++i)
                all[i] = static_cast<std::byte>(i);
            return all;
        }();
        return make_forward({.kind = packet_kind::request,
            .flow = flow,
            .cookie = cookie,
            .request = id,
            .idempotent = idempotent,
            .deadline = std::chrono::seconds(5),
            .payload = std::span(&numbers.at(flow), 1)});
    }

    void request(route_cookie const& cookie, flow_id flow, request_id id,
        bool idempotent = false) {
        receive(make_request(cookie, flow, id, idempotent));
    }

    caller_reply const& last() const {
        return out.replies.back().message.reply;
    }

private:
    static agent_options options(backend_id id, incarnation_id incarnation) {
        agent_options it{.service = service, .backend = id};
        it.domain = static_cast<domain_id>(id);
        it.document.self = agent_endpoint(id);
        it.document.incarnation = incarnation == 0 ? 1000 + id : incarnation;
        it.document.service = "orders";
        it.document.failure_domain = "d";
        return it;
    }

    template <class Content>
    void publish(std::string const& name, Content const& content) {
        auto const value = std::make_shared<section const>(
            section{.name = name, .held = revision_, .content = content});
        core_.handle(now, section_event{.value = value}, out);
    }

    backend_id id_;
    agent core_;
    revision revision_ = 0;
};

} // namespace radishspread::test

#endif
