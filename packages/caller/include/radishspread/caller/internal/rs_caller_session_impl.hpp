#ifndef RADISHSPREAD_CALLER_INTERNAL_RS_CALLER_SESSION_IMPL_HPP
#define RADISHSPREAD_CALLER_INTERNAL_RS_CALLER_SESSION_IMPL_HPP

namespace radishspread {

template <caller_sink Sink> void caller_session::open(instant now, Sink& sink) {
    is_opening_ = true;
    open_deadline_ = now + options_.open_deadline;
    open_interval_ = options_.retransmit_minimum;
    send_open(now, sink);
}

template <caller_sink Sink>
request_id caller_session::request(instant now, std::vector<std::byte> payload,
    bool idempotent, duration deadline, Sink& sink,
    trace_context const& trace) {
    if (is_lost_ || pending_.size() >= max_outstanding)
        return 0;
    pending_.push_back({.id = ++last_id_,
        .idempotent = idempotent,
        .deadline = now + deadline,
        .interval = options_.retransmit_minimum,
        .trace = trace,
        .payload = std::move(payload)});
    if (is_open())
        send_request(now, pending_.back(), sink);
    return last_id_;
}

template <caller_sink Sink>
void caller_session::cancel(instant now, request_id id, Sink& sink) {
    auto* const it = find(id);
    if (it == nullptr)
        return;
    bool const was_sent = it->was_sent;
    if (was_sent) {
        auto packet = make_packet(packet_kind::cancel);
        packet.request = id;
        next_keepalive_ = now + options_.keepalive_interval;
        sink.send(packet);
    }
    finish(id, was_sent ? request_result::unknown : request_result::not_run,
        reason::cancelled, sink);
}

template <caller_sink Sink>
void caller_session::close(instant now, Sink& sink) {
    if (is_open()) {
        next_keepalive_ = now + options_.keepalive_interval;
        sink.send(make_packet(packet_kind::close));
    }
    is_lost_ = true;
    while (!pending_.empty()) {
        auto const& it = pending_.back();
        finish(it.id,
            it.was_sent ? request_result::unknown : request_result::not_run,
            reason::cancelled, sink);
    }
}

template <caller_sink Sink>
void caller_session::handle(
    instant now, caller_reply const& reply, Sink& sink) {
    bool const is_for_this_flow =
        reply.service == options_.service && reply.flow == options_.flow;
    if (!is_for_this_flow || is_lost_)
        return;
    unreplied_since_.reset();
    switch (reply.kind) {
    case reply_kind::opened:
        return on_opened(now, reply, sink);
    case reply_kind::answer:
        return on_answer(now, reply, sink);
    case reply_kind::refused:
        return on_refused(reply, sink);
    case reply_kind::reset:
        return on_reset(reply, sink);
    case reply_kind::moved:
        return on_moved(now, reply, sink);
    }
}

template <caller_sink Sink> void caller_session::tick(instant now, Sink& sink) {
    if (is_lost_)
        return;
    if (is_opening_ && now >= open_deadline_)
        return mark_lost(reason::no_backend_server, sink);
    if (is_opening_ && now >= next_open_)
        send_open(now, sink);
    std::vector<request_id> expired;
    for (auto& it : pending_) {
        if (now >= it.deadline)
            expired.push_back(it.id);
        else if (is_open() && now >= it.next_send)
            send_request(now, it, sink);
    }
    for (auto const id : expired) {
        auto const* const it = find(id);
        auto const result =
            it->was_sent ? request_result::unknown : request_result::not_run;
        finish(id, result, reason::deadline_exceeded, sink);
    }
    bool const is_unresponsive =
        unreplied_since_ && !expired.empty() &&
        now - *unreplied_since_ >= options_.unresponsive_timeout;
    if (is_unresponsive)
        return mark_lost(reason::deadline_exceeded, sink);
    if (is_open() && now >= next_keepalive_) {
        next_keepalive_ = now + options_.keepalive_interval;
        sink.send(make_packet(packet_kind::keepalive));
    }
}

template <class Sink> void caller_session::send_open(instant now, Sink& sink) {
    auto packet = make_packet(packet_kind::open);
    packet.attempt = attempt_;
    if (attempt_ < 255)
        ++attempt_;
    next_open_ = now + open_interval_;
    open_interval_ = std::min(open_interval_ * 2, options_.retransmit_maximum);
    sink.send(packet);
}

template <class Sink>
void caller_session::send_request(
    instant now, internal::pending_request& it, Sink& sink) {
    auto packet = make_packet(packet_kind::request);
    packet.request = it.id;
    packet.idempotent = it.idempotent;
    packet.deadline = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(it.deadline - now, duration{0}));
    packet.received = it.answer.received();
    packet.trace = it.trace;
    packet.payload = it.payload;
    it.was_sent = true;
    if (!unreplied_since_)
        unreplied_since_ = now;
    it.next_send = now + it.interval;
    it.interval = std::min(it.interval * 2, options_.retransmit_maximum);
    next_keepalive_ = now + options_.keepalive_interval;
    sink.send(packet);
}

template <class Sink>
void caller_session::send_pending_requests(instant now, Sink& sink) {
    for (auto& it : pending_)
        send_request(now, it, sink);
}

template <class Sink>
void caller_session::finish(
    request_id id, request_result result, reason cause, Sink& sink) {
    auto* const it = find(id);
    if (it == nullptr)
        return;
    finished_request done{.request = id, .result = result, .reason = cause};
    if (result == request_result::answered) {
        done.status = it->answer.status();
        done.body = it->answer.take();
    }
    pending_.erase(pending_.begin() + (it - pending_.data()));
    sink.finished(done);
}

template <class Sink> void caller_session::mark_lost(reason cause, Sink& sink) {
    is_lost_ = true;
    is_opening_ = false;
    while (!pending_.empty()) {
        auto const& it = pending_.back();
        finish(it.id,
            it.was_sent ? request_result::unknown : request_result::not_run,
            cause, sink);
    }
    sink.flow_lost(cause);
}

template <class Sink>
void caller_session::on_opened(
    instant now, caller_reply const& reply, Sink& sink) {
    // A duplicated opening can reserve the flow at a second agent, whose reply
    // has another cookie. Using both cookies could run a request at each agent.
    if (!is_opening_ || cookie_ || !reply.cookie)
        return;
    cookie_ = reply.cookie;
    is_opening_ = false;
    if (pending_.empty()) {
        next_keepalive_ = now + options_.keepalive_interval;
        sink.send(make_packet(packet_kind::keepalive));
    }
    send_pending_requests(now, sink);
}

template <class Sink>
void caller_session::on_answer(
    instant now, caller_reply const& reply, Sink& sink) {
    auto* const it = find(reply.request);
    if (it == nullptr)
        return;
    bool const is_complete = it->answer.add(reply);
    if (is_complete)
        return finish(
            reply.request, request_result::answered, reason::none, sink);
    // While parts are arriving, a retransmission is only needed to fill a gap,
    // so the backoff restarts.
    it->interval = options_.retransmit_minimum;
    it->next_send = now + it->interval;
}

template <class Sink>
void caller_session::on_refused(caller_reply const& reply, Sink& sink) {
    if (reply.request == 0) {
        if (is_opening_)
            mark_lost(reply.reason, sink);
        return;
    }
    auto const result = reply.outcome == outcome::not_run
                            ? request_result::not_run
                            : request_result::unknown;
    finish(reply.request, result, reply.reason, sink);
}

template <class Sink>
void caller_session::on_reset(caller_reply const& reply, Sink& sink) {
    if (!is_open() || !is_from_current_agent(reply))
        return;
    mark_lost(reply.reason, sink);
}

template <class Sink>
void caller_session::on_moved(
    instant now, caller_reply const& reply, Sink& sink) {
    if (!is_open() || !reply.cookie)
        return;
    bool const is_new = *reply.cookie != *cookie_;
    cookie_ = reply.cookie;
    next_keepalive_ = now + options_.keepalive_interval;
    sink.send(make_packet(packet_kind::keepalive));
    if (is_new)
        send_pending_requests(now, sink);
}

} // namespace radishspread

#endif
