#include <bench/rs_cost.hpp>

#include <bench/rs_allocation_count.hpp>
#include <bench/rs_core_fixture.hpp>

#include <radishspread/core/rs_agent.hpp>

#include <array>
#include <utility>

namespace radishspread::bench {

namespace {

constexpr std::size_t answer_size = 16; ///< In bytes.

/// An agent core with flows; one request of each flow has been answered.
class agent_with_flows {
public:
    agent_with_flows() : core_(make_options()) {
        core_.start(bench_start, sink_);
        auto fleet = fakes::balkonbloei();
        fleet.connections = 100000;
        for (auto const& it : make_sections(fleet))
            if (it->name == "domains" || it->name == "service/service-1")
                core_.handle(bench_start, section_event{.value = it}, sink_);
        auto const hosts = std::make_shared<section const>(section{
            .name = "hosts/domain-1", .held = 1, .content = hosts_section{}});
        core_.handle(bench_start, section_event{.value = hosts}, sink_);
        core_.handle(bench_start, watch_event{.index = 1}, sink_);
        backend({.kind = backend_event_kind::connected});
    }

    /// Opens a flow and completes one request. Returns false if the flow was
    /// not opened or the request is still outstanding.
    bool add(flow_id flow) {
        auto event = make_opening(flow);
        receive(event);
        if (!sink_.cookie)
            return false;
        event.packet.kind = packet_kind::request;
        event.packet.cookie = std::exchange(sink_.cookie, std::nullopt);
        event.packet.request = 1;
        event.packet.deadline = std::chrono::seconds(5);
        event.packet.payload = body_;
        receive(event);
        backend({.kind = backend_event_kind::responded,
            .id = sink_.dispatched,
            .status = 200,
            .body = body_});
        return core_.outstanding() == 0;
    }

private:
    static agent_options make_options() {
        agent_options it{
            .key = bench_key, .service = 1, .backend = 1, .domain = 1};
        it.document.self = fakes::agent_endpoint(1);
        it.document.incarnation = 1;
        it.document.service = "service-1";
        it.document.failure_domain = "domain-1";
        return it;
    }

    void receive(caller_packet_event const& event) {
        core_.handle(bench_start,
            forward{.origin = {.sender = fakes::balancer_endpoint(0)},
                .caller = event.caller,
                .reply_to = fakes::balancer_endpoint(0),
                .packet = event.packet},
            sink_);
    }

    void backend(backend_event event) {
        event.connection = sink_.connection;
        event.max_streams = 100;
        core_.handle(bench_start, event, sink_);
    }

    counting_sink sink_;
    agent core_;
    std::array<std::byte, answer_size> const body_{};
};

std::optional<double> measure_flow_bytes(std::size_t n) {
    auto const before = allocated_bytes();
    auto const agent_flows = std::make_unique<agent_with_flows>();
    for (flow_id flow = 1; flow <= n; ++flow)
        if (!agent_flows->add(flow))
            return std::nullopt;
    return static_cast<double>(allocated_bytes() - before);
}

double measure_balancer_bytes(std::uint32_t services, std::uint32_t backends) {
    auto const before = allocated_bytes();
    proven_balancer core(make_sections(sized_fleet(services, backends)));
    // The first packet builds the tables that are derived from the sections.
    core.handle(make_opening(1));
    return static_cast<double>(allocated_bytes() - before);
}

} // namespace

table measure_memory() {
    table result{.title = "Memory",
        .note = "Heap growth between two sizes. A flow has had one request of "
                "16 bytes answered; sections without\ntheir source text."};
    auto const few = measure_flow_bytes(4096);
    auto const many = measure_flow_bytes(16384);
    bool const has_flows = few && many;
    result.figures.push_back({"flow at the agent",
        has_flows ? std::optional((*many - *few) / (16384 - 4096))
                  : std::nullopt,
        "bytes", std::nullopt});
    auto const per_backend =
        (measure_balancer_bytes(50, 1200) - measure_balancer_bytes(50, 600)) /
        600;
    auto const per_service =
        (measure_balancer_bytes(100, 400) - measure_balancer_bytes(50, 200)) /
        50;
    result.figures.push_back(
        {"backend server at the balancer", per_backend, "bytes", std::nullopt});
    result.figures.push_back(
        {"section of a service, without its backend servers",
            per_service - 4 * per_backend, "bytes", std::nullopt});
    result.figures.push_back({"balancer at target size",
        measure_balancer_bytes(450, 5200) / 1e6, "MB", std::nullopt});
    return result;
}

} // namespace radishspread::bench
