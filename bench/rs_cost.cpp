#include <bench/rs_cost.hpp>

#include <bench/rs_allocation_count.hpp>
#include <bench/rs_core_fixture.hpp>

#include <benchmark/benchmark.h>
#include <radishspread/wire/rs_codec.hpp>

#include <array>
#include <map>

namespace radishspread::bench {

namespace {

constexpr std::size_t distinct_flows = 1024;
constexpr std::size_t payload_size = 200; ///< In bytes.

/// Stores the result of each benchmark by name.
class result_reporter final : public benchmark::BenchmarkReporter {
public:
    struct result {
        double cpu_ns = 0;
        double allocations = 0;
    };

    bool ReportContext(Context const& /*it*/) override { return true; }
    void ReportRuns(std::vector<Run> const& runs) override {
        for (auto const& it : runs) {
            if (it.error_occurred)
                continue;
            auto const n = it.counters.find("allocations");
            results[it.run_name.function_name] = {it.GetAdjustedCPUTime(),
                n == it.counters.end() ? 0 : n->second.value};
        }
    }

    std::map<std::string, result> results;
};

using event_maker = caller_packet_event (*)(flow_id);

void run_packets(
    benchmark::State& state, fakes::deployment const& fleet, event_maker make) {
    proven_balancer core(make_sections(fleet));
    std::vector<caller_packet_event> events;
    for (flow_id flow = 1; flow <= distinct_flows; ++flow)
        events.push_back(make(flow));
    // The first packets build the tables that are derived from the sections.
    for (auto const& event : events)
        core.handle(event);
    if (core.sink.forwards != distinct_flows)
        return state.SkipWithError("some packets were not forwarded");
    std::size_t n = 0;
    auto const before = allocation_count();
    while (state.KeepRunning())
        core.handle(events[n++ % distinct_flows]);
    state.counters["allocations"] =
        static_cast<double>(allocation_count() - before) /
        static_cast<double>(state.iterations());
}

void run_edits(benchmark::State& state) {
    auto const sections = make_sections(target_fleet());
    proven_balancer core(sections);
    std::vector<section_ptr> edits;
    for (auto n = state.max_iterations; n > 0; --n) {
        auto edited = *sections[1 + edits.size() % (sections.size() - 1)];
        edited.held = 2 + edits.size();
        edits.push_back(std::make_shared<section const>(std::move(edited)));
    }
    auto const packet = make_opening(1);
    std::size_t n = 0;
    while (state.KeepRunning()) {
        core.apply(edits[n++]);
        core.tick();
        core.handle(packet);
    }
}

void run_cold_start(benchmark::State& state) {
    auto const sections = make_sections(target_fleet());
    while (state.KeepRunning()) {
        proven_balancer core(sections);
        core.handle(make_opening(1));
        if (core.sink.forwards != 1)
            return state.SkipWithError("the opening was not forwarded");
    }
}

forward make_forward(std::span<std::byte const> payload) {
    auto event = make_established(1);
    event.packet.payload = payload;
    return {.origin = {.sender = fakes::balancer_endpoint(0)},
        .caller = event.caller,
        .reply_to = fakes::balancer_endpoint(0),
        .packet = event.packet};
}

deliver make_deliver(std::span<std::byte const> payload) {
    return {.origin = {.sender = fakes::agent_endpoint(1)},
        .caller = make_opening(1).caller,
        .reply = {.kind = reply_kind::answer,
            .service = 1,
            .flow = 1,
            .request = 3,
            .status = 200,
            .total = payload_size,
            .payload = payload}};
}

template <class Message>
void run_encode(benchmark::State& state, Message const& it) {
    wire::encoder encoder(bench_key);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(encoder.encode(it).data());
}

template <class Message>
void run_peer_decode(benchmark::State& state, Message const& it) {
    wire::encoder encoder(bench_key);
    auto const data = encoder.encode(it);
    wire::peer_message out;
    while (state.KeepRunning())
        if (wire::decode(bench_key, data, out))
            return state.SkipWithError("the message was not decoded");
}

template <class Message>
void run_decode(benchmark::State& state, Message const& it) {
    wire::encoder encoder(bench_key);
    auto const data = encoder.encode(it);
    Message out;
    while (state.KeepRunning())
        if (wire::decode(data, out))
            return state.SkipWithError("the message was not decoded");
}

void register_routing(double seconds) {
    struct entry {
        char const* name;
        event_maker make;
        fakes::deployment (*fleet)();
    };
    for (auto const& it :
        {entry{"established packet, today", make_established, current_fleet},
            entry{"established packet, target", make_established, target_fleet},
            entry{"opening, today", make_opening, current_fleet},
            entry{"opening, target", make_opening, target_fleet}})
        benchmark::RegisterBenchmark(it.name, [it](benchmark::State& state) {
            run_packets(state, it.fleet(), it.make);
        })->MinTime(seconds);
    benchmark::RegisterBenchmark("section edit, target", run_edits)
        ->Iterations(200);
    benchmark::RegisterBenchmark("cold start, target", run_cold_start)
        ->Iterations(5);
}

void register_codec(double seconds) {
    static std::array<std::byte, payload_size> const payload{};
    auto const add = [&](char const* name, auto run) {
        benchmark::RegisterBenchmark(name, run)->MinTime(seconds);
    };
    add("encode forward", [](benchmark::State& state) {
        run_encode(state, make_forward(payload));
    });
    add("decode forward", [](benchmark::State& state) {
        run_peer_decode(state, make_forward(payload));
    });
    add("encode deliver", [](benchmark::State& state) {
        run_encode(state, make_deliver(payload));
    });
    add("decode deliver", [](benchmark::State& state) {
        run_peer_decode(state, make_deliver(payload));
    });
    add("encode caller reply", [](benchmark::State& state) {
        run_encode(state, make_deliver(payload).reply);
    });
    add("decode caller packet", [](benchmark::State& state) {
        run_decode(state, make_forward(payload).packet);
    });
}

} // namespace

table measure_cost(bool is_quick) {
    double const seconds = is_quick ? 0.1 : 0.5;
    register_routing(seconds);
    register_codec(seconds);
    result_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter, ".");
    table result{.title = "Cost of decisions and codec",
        .note = "CPU time of one core on a shared machine. Today: 2 services "
                "with 10 backend servers; target: 450\nwith 5,200. Payloads of "
                "200 bytes. The time of an edit includes the next opening."};
    auto const find = [&](std::string const& name) {
        auto const it = reporter.results.find(name);
        return it == reporter.results.end() ? std::nullopt
                                            : std::optional(it->second);
    };
    auto const add = [&](std::string const& name, std::string const& unit,
                         double scale, std::optional<target> bound) {
        auto const it = find(name);
        result.figures.push_back(
            {name, it ? std::optional(it->cpu_ns / scale) : std::nullopt, unit,
                bound});
    };
    for (std::string const kind : {"established packet", "opening"}) {
        add(kind + ", today", "ns", 1, at_most(150));
        add(kind + ", target", "ns", 1, at_most(150));
        auto const a = find(kind + ", today");
        auto const b = find(kind + ", target");
        bool const has_both = a && b;
        result.figures.push_back({kind + ", growth from today to target",
            has_both ? std::optional(b->cpu_ns / a->cpu_ns) : std::nullopt, "x",
            at_most(2)});
        result.figures.push_back({kind + ", target, allocations",
            b ? std::optional(b->allocations) : std::nullopt, "/packet",
            at_most(0)});
    }
    for (auto const* const name :
        {"encode forward", "decode forward", "encode deliver", "decode deliver",
            "encode caller reply", "decode caller packet"})
        add(name, "ns", 1, std::nullopt);
    add("section edit, target", "us", 1e3, std::nullopt);
    add("cold start, target", "ms", 1e6, std::nullopt);
    return result;
}

} // namespace radishspread::bench
