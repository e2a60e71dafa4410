#ifndef RADISHSPREAD_BENCH_RS_CORE_FIXTURE_HPP
#define RADISHSPREAD_BENCH_RS_CORE_FIXTURE_HPP

#include <fakes/rs_deployment.hpp>
#include <radishspread/core/rs_balancer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace radishspread::bench {

/// Action sink that counts the packets that a core sends and stores only the
/// last cookie and the ids of the last connection and dispatch.
struct counting_sink {
    std::uint64_t forwards = 0;
    std::uint64_t replies = 0;
    std::uint64_t connection = 0;
    dispatch_id dispatched = 0;
    std::optional<route_cookie> cookie;

    void read_section(std::string_view) {}
    void watch(std::uint64_t) {}
    void pull_section(endpoint, std::string_view) {}
    void pull_index(endpoint) {}
    void send_digest(endpoint, peer_digest const&) {}
    void section_in_effect(section_ptr const&) {}
    void discard_queued() {}
    void log(log_event const&) {}
    void send_forward(endpoint, forward const&) { ++forwards; }
    void send_reply(service_id, endpoint, caller_reply const&) { ++replies; }
    void send_deliver(endpoint, deliver const& it) {
        ++replies;
        cookie = it.reply.cookie;
    }
    void send_handover(endpoint, handover const&) {}
    void send_handover_reply(endpoint, handover_reply const&) {}
    void connect(std::uint64_t id) { connection = id; }
    void ping(std::uint64_t) {}
    void disconnect(std::uint64_t) {}
    void dispatch(std::uint64_t, backend_request const& it) {
        dispatched = it.id;
    }
    void cancel(std::uint64_t, dispatch_id) {}
};

inline constexpr fleet_key bench_key{{1, 2, 3}};
inline constexpr instant bench_start{std::chrono::seconds(100)};

/// Sections of a deployment at revision 1: `domains`, then those of the
/// services.
[[nodiscard]] std::vector<section_ptr> make_sections(
    fakes::deployment const& fleet);

/// Deployments of the current size (2 services with 10 backend servers), of the
/// target size (450 services with 5,200 backend servers), and of the given
/// size.
[[nodiscard]] fakes::deployment current_fleet();
[[nodiscard]] fakes::deployment target_fleet();
[[nodiscard]] fakes::deployment sized_fleet(
    std::uint32_t services, std::uint32_t backends);

/// A balancer core that has received all given sections and has a proven view.
class proven_balancer {
public:
    explicit proven_balancer(std::vector<section_ptr> const& sections);

    void apply(section_ptr const& value);
    void tick() { core_->tick(now, sink); }
    void handle(caller_packet_event const& event) {
        core_->handle(now, event, sink);
    }
    [[nodiscard]] bool is_proven() const { return core_->view().is_proven(); }

    counting_sink sink;
    instant now{bench_start};

private:
    std::unique_ptr<balancer> core_;
};

/// A request packet of an established flow of service 1, and an opening packet.
[[nodiscard]] caller_packet_event make_established(flow_id flow);
[[nodiscard]] caller_packet_event make_opening(flow_id flow);

} // namespace radishspread::bench

#endif
