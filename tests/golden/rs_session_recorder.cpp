#include <golden/rs_session_recorder.hpp>

#include <radishspread/core/rs_agent_events.hpp>
#include <radishspread/core/rs_balancer_events.hpp>
#include <radishspread/core/rs_document_events.hpp>

#include <array>
#include <cstdio>

namespace radishspread::golden {

using fakes::observation_kind;

namespace {

constexpr std::array<std::string_view, 5> packet_names{
    "open", "request", "keepalive", "cancel", "close"};
constexpr std::array<std::string_view, 5> reply_names{
    "opened", "answer", "refused", "reset", "moved"};
constexpr std::array<std::string_view, 3> outcome_names{
    "none", "not_run", "unknown"};

/// "balancer-1", "agent-2" or "caller-3". The fakes give each role a network of
/// its own and number the hosts in it.
std::string process_name(endpoint it) {
    constexpr std::uint32_t network_bits = 16;
    constexpr std::uint32_t host_mask = 0xffff;
    constexpr std::array<std::string_view, 4> roles{
        "host", "balancer", "agent", "caller"};
    auto const network = (it.address >> network_bits) & 0xffU;
    return std::string(roles[network < roles.size() ? network : 0]) + "-" +
           std::to_string(it.address & host_mask);
}

template <class T> std::string field(std::string_view name, T value) {
    if (value == T{})
        return {};
    return " " + std::string(name) + "=" + std::to_string(value);
}

std::string reason_field(reason it) {
    return it == reason::none ? "" : " reason=" + std::string(to_string(it));
}

std::string describe(caller_packet const& it) {
    std::string text(packet_names[static_cast<std::size_t>(it.kind)]);
    text += field("flow", it.flow);
    text += field("attempt", it.attempt);
    text += field("request", it.request);
    if (it.kind == packet_kind::request) {
        text += field("order", fakes::read_payload(it.payload).id);
        text += it.idempotent ? " idempotent" : " at-most-once";
    }
    text += field("received", it.received);
    return text;
}

std::string describe(caller_reply const& it) {
    std::string text(reply_names[static_cast<std::size_t>(it.kind)]);
    text += field("flow", it.flow);
    text += field("request", it.request);
    if (it.outcome != outcome::none)
        text +=
            " outcome=" +
            std::string(outcome_names[static_cast<std::size_t>(it.outcome)]);
    text += reason_field(it.reason);
    text += field("status", it.status);
    if (it.kind == reply_kind::answer)
        text += " bytes=" + std::to_string(it.offset) + "-" +
                std::to_string(it.offset + it.payload.size()) + "/" +
                std::to_string(it.total);
    if (it.cookie)
        text += " cookie=" + process_name(it.cookie->agent);
    return text;
}

std::string_view event_text(std::uint16_t number) {
    for (auto const& it : balancer_events)
        if (it.number == number)
            return it.text;
    for (auto const& it : agent_events)
        if (it.number == number)
            return it.text;
    for (auto const& it : document_events)
        if (it.number == number)
            return it.text;
    return "not in the catalogue";
}

void replace(
    std::string& line, std::string const& old, std::string const& replacement) {
    auto const at = line.find(old);
    if (at != std::string::npos)
        line.replace(at, old.size(), replacement);
}

/// Meaning of the flag of an observation; for a lost flow, the reason.
std::string flag_text(fakes::observation const& it) {
    if (it.what == observation_kind::request_started)
        return it.flag ? " idempotent" : " at-most-once";
    if (it.what == observation_kind::request_ended)
        return it.flag ? "" : " wrong response";
    if (it.what == observation_kind::flow_lost)
        return " reason=" +
               std::string(to_string(static_cast<reason>(it.value)));
    return {};
}

/// True for observations that the recorded datagrams show already or that only
/// the fault matrix uses.
bool is_omitted(observation_kind what) {
    return what == observation_kind::stamp_sent ||
           what == observation_kind::packet_into ||
           what == observation_kind::new_flow_at ||
           what == observation_kind::not_run_replied;
}

} // namespace

void session_recorder::begin() {
    is_recording_ = true;
    next_observation_ = simulation_.log.size();
}

std::string session_recorder::text() {
    add_observations();
    return text_;
}

void session_recorder::add_observations() {
    for (; next_observation_ < simulation_.log.size(); ++next_observation_) {
        auto const& it = simulation_.log[next_observation_];
        if (is_omitted(it.what))
            continue;
        auto line = fakes::to_string(it);
        if (it.process.is_set())
            replace(line, to_string(it.process), process_name(it.process));
        replace(line, " request=", " order=");
        replace(line, " flag", "");
        if (it.what == observation_kind::flow_lost)
            replace(line, " value=" + std::to_string(it.value), "");
        text_ += line + flag_text(it) + "\n";
    }
}

void session_recorder::add(endpoint at, std::string const& what) {
    if (!is_recording_)
        return;
    add_observations();
    char buf[32];
    std::snprintf(buf, sizeof buf, "%10.3f ms ",
        static_cast<double>(
            simulation_.queue.now().time_since_epoch().count()) /
            1000.0);
    text_ += buf + process_name(at) + what + "\n";
}

void session_recorder::add_sent(
    endpoint at, endpoint to, std::string const& what) {
    auto const* const from = simulation_.find(at);
    auto const* const other = simulation_.find(to);
    std::string lost;
    if (other == nullptr)
        lost = " (lost: no process there)";
    else if (from != nullptr && !simulation_.can_reach(*from, *other))
        lost = " (lost: unreachable)";
    add(at, " -> " + process_name(to) + " " + what + lost);
}

void session_recorder::logged(endpoint at, log_event const& event) {
    auto line = " RS" + std::to_string(event.number) + " " +
                std::string(event_text(event.number));
    if (!event.text.empty())
        line += " text=" + std::string(event.text);
    if (event.peer.is_set())
        line += " peer=" + process_name(event.peer);
    line += field("flow", event.flow) + field("request", event.request);
    add(at, line + reason_field(event.reason) + field("value", event.value));
}

void session_recorder::received(
    endpoint at, endpoint caller, caller_packet const& it) {
    add(at, " <- " + process_name(caller) + " " + describe(it));
}

void session_recorder::replied(
    endpoint at, endpoint caller, caller_reply const& it) {
    add(at, " -> " + process_name(caller) + " " + describe(it));
}

void session_recorder::sent(endpoint at, endpoint to, forward const& it) {
    std::string line = "forward: " + describe(it.packet);
    line += field("passes", it.passes);
    add_sent(at, to, it.must_accept ? line + " must_accept" : line);
}

void session_recorder::sent(endpoint at, endpoint to, deliver const& it) {
    add_sent(at, to, "deliver: " + describe(it.reply));
}

void session_recorder::sent(endpoint at, endpoint to, handover const& it) {
    add_sent(at, to,
        std::string(it.target == 0 ? "handover: query" : "handover: transfer") +
            field("flow", it.flow.flow));
}

void session_recorder::sent(
    endpoint at, endpoint to, handover_reply const& it) {
    auto line = "handover_reply:" + field("flow", it.flow.flow);
    line += it.cookie ? " taken" : it.target == 0 ? " query" : " not taken";
    add_sent(at, to, line + reason_field(it.reason));
}

void session_recorder::dispatched(endpoint at, backend_request const& it) {
    add(at, " dispatch" + field("request", it.request) +
                field("order", fakes::read_payload(it.payload).id));
}

void session_recorder::reads_section(
    endpoint at, endpoint from, std::string_view section) {
    add(at,
        " reads " + std::string(section) + " from " +
            (from.is_set() ? process_name(from) : "the configuration service"));
}

} // namespace radishspread::golden
