#ifndef RADISHSPREAD_CORE_INTERNAL_RS_DOCUMENT_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_DOCUMENT_IMPL_HPP

#include <radishspread/core/rs_document.hpp>

namespace radishspread {

namespace internal {

/// The configuration service replies to a watch within `watch_wait`; a watch
/// without a reply for this much longer has failed.
inline constexpr duration watch_grace = std::chrono::seconds(5);

/// Timeout of a read from the configuration service or a pull from a peer. It
/// leaves time for a second attempt at the other source before a failure domain
/// that was taken out must be empty.
inline constexpr duration read_timeout = std::chrono::seconds(2);

/// Limit of concurrent reads, so that a starting balancer, which needs every
/// section, does not overload the configuration service.
inline constexpr std::size_t max_reads = 16;

/// Limit of the rate at which a balancer rereads one host list, in bytes/s. At
/// the target size a list has 33 KB and changes every three minutes; reading
/// each change would use 1.3 KB/s of the 2 KB/s for control traffic. Agents
/// enforce that a leaving host gets no new work and read their list at once.
inline constexpr std::size_t host_list_rate = 32;

/// A watch with a reply sooner than this returned a change that was already
/// present when the watch was sent.
inline constexpr duration prompt_reply_limit = std::chrono::milliseconds(200);

} // namespace internal

template <document_sink Sink>
void document::report(Sink& sink, std::uint16_t number, std::string_view name,
    std::uint64_t value, endpoint peer) const {
    sink.log(log_event{.number = number,
        .step = step::read_document,
        .peer = peer,
        .value = static_cast<std::int64_t>(value),
        .text = name});
}

template <document_sink Sink> void document::start(instant now, Sink& sink) {
    is_started_ = true;
    last_event_at_ = now;
    begin_proof(now, sink);
}

template <document_sink Sink>
bool document::check_pause(instant now, Sink& sink) {
    auto const gap = now - last_event_at_;
    if (gap > duration{0})
        last_event_at_ = now;
    if (!is_started_ || gap <= options_.pause_limit)
        return false;
    sink.discard_queued();
    report(sink, document_event::process_paused, {},
        static_cast<std::uint64_t>(gap / std::chrono::milliseconds(1)));
    reads_.restart(now);
    begin_proof(now, sink);
    return true;
}

template <document_sink Sink>
void document::send_watch(instant now, std::uint64_t after, Sink& sink) {
    watch_.is_waiting = true;
    watch_.after = after;
    watch_.sent = now;
    sink.watch(after);
}

template <document_sink Sink>
void document::handle(instant now, section_event const& event, Sink& sink) {
    if (check_pause(now, sink) || !event.value || !needs(event.value->name))
        return;
    auto const result = table_.insert(event.value);
    if (result == internal::insert_result::accepted)
        accept(now, event.value, sink);
    else
        reject(now, event, result, sink);
    run_reads(now, sink);
    check_proof(now, sink);
}

template <document_sink Sink>
void document::accept(instant now, section_ptr const& value, Sink& sink) {
    report(sink, document_event::section_in_effect, value->name, value->held);
    if (table_.unblocks_services())
        reads_.retry_refused_services(
            now + random_.up_to(options_.read_jitter));
    if (options_.is_balancer && value->name.starts_with(internal::hosts_prefix))
        next_host_read_at_[value->name] =
            now +
            std::chrono::seconds(value->text.size() / internal::host_list_rate);
    // A stale replica can return a revision that is newer than the one in
    // effect but not the newest, so the read may have to be repeated.
    if (reads_.finish_read(value->name, value->held))
        reads_.reschedule(
            value->name, std::max(now, earliest_read(value->name)));
    sink.section_in_effect(table_.find(value->name));
}

template <document_sink Sink>
void document::reject(instant now, section_event const& event,
    internal::insert_result result, Sink& sink) {
    auto const& value = *event.value;
    if (result == internal::insert_result::not_newer) {
        bool const is_older = value.held < table_.held(value.name);
        if (is_older && older_log_.count(now) > 0)
            report(sink, document_event::older_revision, value.name, value.held,
                event.peer);
        if (reads_.finish_read(value.name, table_.held(value.name)))
            retry_read(now, value.name, event.peer, sink);
        return;
    }
    bool const is_conflict =
        result == internal::insert_result::service_conflict;
    report(sink,
        is_conflict ? document_event::service_conflict
                    : document_event::section_over_limit,
        value.name, value.held, event.peer);
    reads_.refuse(value.name, value.held);
    if (reads_.finish_read(value.name, table_.held(value.name)))
        retry_read(now, value.name, event.peer, sink);
}

template <document_sink Sink>
void document::handle(
    instant now, section_refused_event const& event, Sink& sink) {
    if (check_pause(now, sink) || !needs(event.name))
        return;
    sink.log(log_event{.number = document_event::section_refused,
        .step = step::read_document,
        .peer = event.peer,
        .value = static_cast<std::int64_t>(event.refused),
        .text = event.faults});
    reads_.refuse(event.name, event.refused);
    if (reads_.finish_read(event.name, table_.held(event.name)))
        retry_read(now, event.name, event.peer, sink);
    check_proof(now, sink);
}

template <document_sink Sink>
void document::handle(instant now, read_failed_event const& event, Sink& sink) {
    if (check_pause(now, sink))
        return;
    if (reads_.finish_read(event.name, table_.held(event.name)))
        retry_read(now, event.name, event.peer, sink);
    run_reads(now, sink);
    check_proof(now, sink);
}

template <document_sink Sink>
void document::retry_read(
    instant now, std::string_view name, endpoint peer, Sink& sink) {
    auto const failures = reads_.failures(name);
    reads_.postpone(name, now + backoff(failures));
    if (read_log_.count(now) > 0)
        report(sink, document_event::read_failed, name, failures + 1, peer);
}

template <document_sink Sink>
void document::schedule_read(instant now, digest_entry const& seen,
    endpoint peer, duration delay, Sink& sink) {
    if (!needs(seen.name) || seen.held <= table_.held(seen.name))
        return;
    auto const due = std::max(now + delay, earliest_read(seen.name));
    if (!reads_.schedule(seen.name, seen.held, peer, due) &&
        full_log_.count(now) > 0)
        report(sink, document_event::section_over_limit, seen.name, seen.held);
}

template <document_sink Sink>
void document::handle(instant now, watch_event const& event, Sink& sink) {
    if (check_pause(now, sink))
        return;
    if (!event.peer.is_set()) {
        handle_watch_reply(now, event, sink);
    } else {
        for (auto const& it : event.changes)
            schedule_read(now, it, event.peer, duration{0}, sink);
        if (proof_.index_peer == event.peer)
            proof_.finish_index();
    }
    run_reads(now, sink);
    check_proof(now, sink);
}

template <document_sink Sink>
void document::handle_watch_reply(
    instant now, watch_event const& event, Sink& sink) {
    bool const is_prompt = now - watch_.sent < internal::prompt_reply_limit;
    // A prompt reply follows a watch whose start was already random (the first
    // one or a delayed one); a second delay would only postpone the change.
    auto const jitter =
        is_prompt ? duration{0} : random_.up_to(options_.read_jitter);
    bool is_stale = false;
    for (auto const& it : event.changes) {
        schedule_read(now, it, {}, jitter, sink);
        if (!needs(it.name) || it.held >= table_.held(it.name))
            continue;
        is_stale = true;
        if (older_log_.count(now) > 0)
            report(sink, document_event::older_revision, it.name, it.held);
    }
    bool const is_full_list = watch_.after == 0;
    watch_.is_waiting = false;
    // A lower position comes from a stale replica or from a configuration
    // service that lost its positions. Changes in between could be missed, so
    // the full list is requested again.
    watch_.index = event.index < watch_.after ? 0 : event.index;
    watch_.failures = is_stale ? watch_.failures + 1 : 0;
    bool const was_idle = event.changes.empty() && !is_prompt;
    if (is_stale)
        watch_.due = now + backoff(watch_.failures);
    else
        watch_.due = was_idle ? now : now + random_.up_to(options_.read_jitter);
    // Only a full list from a configuration service that is not older than this
    // process's view proves the view.
    if (is_full_list && !proof_.is_proven)
        proof_.service = is_stale ? internal::proof_state::failed
                                  : internal::proof_state::confirmed;
}

template <document_sink Sink>
void document::handle(
    instant now, watch_failed_event const& event, Sink& sink) {
    if (check_pause(now, sink))
        return;
    if (event.peer.is_set()) {
        if (proof_.index_peer == event.peer)
            proof_.index_peer = {};
        return;
    }
    watch_.is_waiting = false;
    watch_.due = now + backoff(watch_.failures);
    ++watch_.failures;
    if (!proof_.is_proven && proof_.service == internal::proof_state::pending)
        proof_.service = internal::proof_state::failed;
    report(sink, document_event::watch_failed, {}, watch_.failures);
    check_proof(now, sink);
}

template <document_sink Sink>
void document::run_watch(instant now, Sink& sink) {
    // The reply to a request for the full list is immediate, so it gets the
    // shorter timeout of a read.
    auto const limit = watch_.after == 0 ? internal::read_timeout
                                         : watch_wait + internal::watch_grace;
    if (watch_.is_waiting && now - watch_.sent >= limit)
        handle(now, watch_failed_event{}, sink);
    // Until the view is proven the full list is needed, not just changes.
    bool const needs_full_list =
        !proof_.is_proven && proof_.service != internal::proof_state::confirmed;
    if (!watch_.is_waiting && now >= watch_.due)
        send_watch(now, needs_full_list ? 0 : watch_.index, sink);
}

template <document_sink Sink>
void document::run_reads(instant now, Sink& sink) {
    auto outstanding = reads_.outstanding();
    for (auto& [name, read] : reads_.pending()) {
        if (read.is_reading || now < read.due || !may_read(name))
            continue;
        if (outstanding == internal::max_reads)
            return;
        ++outstanding;
        read.is_reading = true;
        read.deadline = now + internal::read_timeout;
        if (read.reads_from_peer())
            sink.pull_section(read.peer, name);
        else
            sink.read_section(name);
    }
}

template <document_sink Sink> void document::tick(instant now, Sink& sink) {
    check_pause(now, sink);
    for (auto& [name, read] : reads_.pending())
        if (read.is_reading && now >= read.deadline)
            retry_read(now, name, {}, sink);
    run_watch(now, sink);
    run_digests(now, sink);
    run_reads(now, sink);
    check_proof(now, sink);
}

} // namespace radishspread

#endif
