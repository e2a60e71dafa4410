#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REPLY_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_REPLY_IMPL_HPP

#include <radishspread/core/internal/rs_agent_state.hpp>

#include <algorithm>

namespace radishspread::agent_internal {

/// Parts of one answer that are sent at once. At 1 KB each they fit into the
/// default receive buffer of a socket; the rest is sent in the next ticks.
inline constexpr unsigned parts_per_burst = 64;
/// Parts of all answers that one tick sends before it stops.
inline constexpr unsigned parts_per_tick = 512;

/// Logs at most one event of each number per second. If the event has no value,
/// it gets as value the number of events that the log line stands for.
template <class Sink> void log(agent_call<Sink> call, log_event event) {
    event.service = call.state.options.service;
    auto& limit = call.state.log_limits.at(event.number - agent_event::first);
    auto const n = limit.count(call.now);
    if (n == 0)
        return;
    if (event.value == 0)
        event.value = n;
    call.sink.log(event);
}

template <class Sink>
void send_reply(agent_call<Sink> call, endpoint balancer, endpoint caller,
    caller_reply const& reply) {
    call.sink.send_deliver(
        balancer, deliver{.origin = call.state.view.make_stamp(reply.service),
                      .caller = caller,
                      .reply = reply});
}

template <class Sink>
void send_reply(
    agent_call<Sink> call, flow_entry const& flow, caller_reply reply) {
    reply.service = flow.key.service;
    reply.flow = flow.key.flow;
    send_reply(call, flow.reply_to, flow.key.caller, reply);
}

/// Tells the caller that the flow of a packet no longer exists here. The
/// outcome of a request in the packet is unknown, because a copy of it may have
/// run before. The reset contains the packet's cookie, by which the caller
/// distinguishes a late reset from a current one. It is left out if another
/// agent forwarded the packet, since the caller may not know that cookie.
template <class Sink>
void send_reset(agent_call<Sink> call, forward const& message, reason why) {
    auto const& packet = message.packet;
    auto const result = packet.request == 0 ? outcome::none : outcome::unknown;
    bool const is_direct = message.passes == 0;
    log(call, {.number = agent_event::flow_reset,
                  .step = step::receive,
                  .peer = message.origin.sender,
                  .flow = packet.flow,
                  .request = packet.request,
                  .reason = why});
    send_reply(call, message.reply_to, message.caller,
        caller_reply{.kind = reply_kind::reset,
            .service = packet.service,
            .flow = packet.flow,
            .cookie = is_direct ? packet.cookie : std::nullopt,
            .request = packet.request,
            .outcome = result,
            .reason = why,
            .trace = packet.trace});
}

template <class Sink>
void send_refused(agent_call<Sink> call, flow_entry const& flow, request_id id,
    outcome result, reason why, trace_context const& trace) {
    send_reply(call, flow,
        caller_reply{.kind = reply_kind::refused,
            .request = id,
            .outcome = result,
            .reason = why,
            .trace = trace});
}

/// Sends the recorded result of a request that ended without an answer.
template <class Sink>
void send_ended(agent_call<Sink> call, flow_entry const& flow,
    request_record const& record) {
    send_refused(
        call, flow, record.id, record.outcome, record.reason, record.trace);
}

/// Ends a request without an answer. The record ensures that later copies of
/// the request get the same reply and never run.
template <class Sink>
void end_request(agent_call<Sink> call, flow_entry& flow,
    request_record& record, outcome result, reason why) {
    record.state = request_state::ended;
    record.outcome = result;
    record.reason = why;
    bool const is_refusal = result == outcome::not_run;
    log(call, {.number = is_refusal ? agent_event::request_refused
                                    : agent_event::request_unknown,
                  .step = is_refusal ? step::admit : step::answer,
                  .flow = flow.key.flow,
                  .request = record.id,
                  .reason = why});
    send_ended(call, flow, record);
}

template <class Sink>
void send_part(agent_call<Sink> call, flow_entry const& flow,
    request_record const& record, std::span<std::byte const> body,
    std::uint32_t offset) {
    auto const length = std::min(body.size() - offset, max_payload);
    send_reply(call, flow,
        caller_reply{.kind = reply_kind::answer,
            .request = record.id,
            .status = record.status,
            .offset = offset,
            .total = static_cast<std::uint32_t>(body.size()),
            .trace = record.trace,
            .payload = body.subspan(offset, length)});
}

/// Sends the next parts of an answer, or a refusal if the answer was evicted.
/// Returns the number of messages sent.
template <class Sink>
unsigned send_burst(agent_call<Sink> call, flow_entry const& flow,
    request_record const& record) {
    auto& state = call.state;
    request_key const key{.opening = flow.opening, .request = record.id};
    auto const body = state.answers.find(key);
    if (!body) {
        state.transfers.erase(key);
        send_refused(call, flow, record.id, outcome::unknown,
            reason::answer_dropped, record.trace);
        return 1;
    }
    auto& offset = state.transfers[key];
    unsigned parts = 0;
    do {
        send_part(call, flow, record, *body, offset);
        offset += std::min<std::size_t>(body->size() - offset, max_payload);
        ++parts;
    } while (offset < body->size() && parts < parts_per_burst);
    if (offset >= body->size())
        state.transfers.erase(key);
    return parts;
}

/// Sends the answer to a request from the offset `received`, up to which the
/// caller has it. A caller that has all of it acknowledges the answer by that.
template <class Sink>
void send_answer(agent_call<Sink> call, flow_entry const& flow,
    request_record const& record, std::uint32_t received) {
    auto& state = call.state;
    request_key const key{.opening = flow.opening, .request = record.id};
    auto const body = state.answers.find(key);
    if (body && !body->empty() && received >= body->size()) {
        state.transfers.erase(key);
        return state.answers.acknowledge(key);
    }
    state.transfers[key] = body && !body->empty() ? received : 0;
    send_burst(call, flow, record);
}

/// Continues the answers that did not fit into one burst, in round-robin order.
template <class Sink> void continue_transfers(agent_call<Sink> call) {
    auto& state = call.state;
    unsigned parts = 0;
    auto const n = state.transfers.size();
    for (std::size_t i = 0; i < n && parts < parts_per_tick; ++i) {
        auto it = state.transfers.upper_bound(state.last_transfer);
        if (it == state.transfers.end())
            it = state.transfers.begin();
        if (it == state.transfers.end())
            return;
        auto const key = it->first;
        state.last_transfer = key;
        auto* const flow = state.flows.find(key.opening);
        auto* const record = flow ? flow->find(key.request) : nullptr;
        if (record == nullptr)
            state.transfers.erase(it);
        else
            parts += send_burst(call, *flow, *record);
    }
}

} // namespace radishspread::agent_internal

#endif
