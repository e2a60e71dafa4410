#include <radishspread/runtime/rs_settings_change.hpp>

#include <fstream>
#include <iterator>

namespace radishspread::runtime {

namespace {

using config::settings;

bool same_limits(balancer_options const& a, balancer_options const& b) {
    return a.open_timeout == b.open_timeout &&
           a.suspect_window == b.suspect_window &&
           a.suspect_time == b.suspect_time &&
           a.max_pending_openings == b.max_pending_openings;
}

bool same_limits(agent_options const& a, agent_options const& b) {
    return a.reservation_time == b.reservation_time &&
           a.flow_idle_time == b.flow_idle_time &&
           a.progress_timeout == b.progress_timeout &&
           a.handover_retry == b.handover_retry &&
           a.reconnect_minimum == b.reconnect_minimum &&
           a.reconnect_maximum == b.reconnect_maximum &&
           a.disconnected_limit == b.disconnected_limit &&
           a.max_stored_answers == b.max_stored_answers &&
           a.max_answer == b.max_answer && a.retry_tokens == b.retry_tokens &&
           a.retry_ratio == b.retry_ratio;
}

bool same_limits(document_options const& a, document_options const& b) {
    return a.pause_limit == b.pause_limit && a.read_jitter == b.read_jitter &&
           a.retry_minimum == b.retry_minimum &&
           a.retry_maximum == b.retry_maximum &&
           a.digest_interval == b.digest_interval &&
           a.proof_timeout == b.proof_timeout &&
           a.max_sections == b.max_sections && a.max_text == b.max_text;
}

bool same_key(settings const& a, settings const& b) {
    return a.key.bytes == b.key.bytes && a.key_id == b.key_id;
}

} // namespace

settings_change compare_settings(settings const& a, settings const& b) {
    settings_change out;
    auto const compare = [](auto& list, bool same, std::string_view key) {
        if (!same)
            list.push_back(key);
    };
    auto& applicable = out.applicable;
    compare(applicable, a.log_directory == b.log_directory, "log");
    compare(applicable, a.trace_file == b.trace_file, "trace");
    compare(applicable, a.stop_deadline == b.stop_deadline, "stop_deadline");
    auto& needs_restart = out.needs_restart;
    compare(needs_restart, a.name == b.name, "name");
    compare(
        needs_restart, a.failure_domain == b.failure_domain, "failure_domain");
    compare(needs_restart, a.address == b.address, "address");
    compare(needs_restart, a.peer_port == b.peer_port, "peer_port");
    compare(needs_restart, a.metrics_port == b.metrics_port, "metrics_port");
    compare(needs_restart, a.configuration_service == b.configuration_service,
        "configuration_service");
    compare(needs_restart, same_key(a, b), "key");
    compare(needs_restart, a.peers == b.peers, "peers");
    compare(needs_restart, a.service == b.service, "service");
    compare(needs_restart, a.backend == b.backend, "backend_server");
    compare(needs_restart, a.backend_address == b.backend_address,
        "backend_address");
    bool const same = same_limits(a.balancer, b.balancer) &&
                      same_limits(a.balancer.document, b.balancer.document) &&
                      same_limits(a.agent, b.agent) &&
                      same_limits(a.agent.document, b.agent.document);
    compare(needs_restart, same, "limits");
    return out;
}

reload_result read_settings(std::string const& file, config::role expected) {
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return {.value = {}, .fault = file + ": cannot be read"};
    std::string const text(std::istreambuf_iterator<char>(in), {});
    auto parsed = config::parse_settings(text, file, expected);
    reload_result out{.value = std::move(parsed.value), .fault = {}};
    for (auto const& it : parsed.faults) {
        if (!out.fault.empty())
            out.fault += "; ";
        out.fault += config::to_string(it);
    }
    return out;
}

} // namespace radishspread::runtime
