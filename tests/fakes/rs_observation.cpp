#include <fakes/rs_observation.hpp>

#include <array>
#include <cstdio>
#include <string_view>

namespace radishspread::fakes {

namespace {

constexpr std::array<std::string_view, 26> names{"request_started",
    "request_ended", "not_run_replied", "run_started", "run_ended", "run_cut",
    "over_capacity", "flow_established", "flow_lost", "flow_closed",
    "new_flow_at", "packet_into", "stamp_sent", "domain_out", "domain_in",
    "leaving", "edited", "killed", "stopped", "finished", "unreachable",
    "reachable", "service_impaired", "service_healthy", "backend_fault",
    "packet_fault"};
static_assert(names.size() ==
              static_cast<std::size_t>(observation_kind::packet_fault) + 1);

constexpr std::array<std::string_view, 3> results{
    "answered", "not_run", "unknown"};

template <class T> void add(std::string& line, std::string_view name, T value) {
    if (value == T{})
        return;
    line += ' ';
    line += name;
    line += '=';
    line += std::to_string(value);
}

} // namespace

std::string to_string(observation const& it) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%10.3f ms ",
        static_cast<double>(it.at.time_since_epoch().count()) / 1000.0);
    std::string line = buf;
    line += names[static_cast<std::size_t>(it.what)];
    add(line, "request", it.id);
    add(line, "flow", it.flow);
    add(line, "service", it.service);
    add(line, "backend", it.backend);
    add(line, "domain", it.domain);
    if (it.process.is_set())
        line += " process=" + to_string(it.process);
    add(line, "value", it.value);
    if (it.what == observation_kind::request_ended) {
        line += " result=";
        line += results[static_cast<std::size_t>(it.result)];
    }
    if (it.flag)
        line += " flag";
    return line;
}

} // namespace radishspread::fakes
