#ifndef RADISHSPREAD_CORE_INTERNAL_RS_DOCUMENT_PEERS_IMPL_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_DOCUMENT_PEERS_IMPL_HPP

#include <radishspread/core/rs_document.hpp>

namespace radishspread {

namespace internal {

/// Number of peers queried at once when a proof begins, since some may be down.
inline constexpr int proof_peer_count = 3;

/// Interval between queries to peers while the view is unproven.
inline constexpr duration proof_interval = std::chrono::milliseconds(250);

/// An index that is not received within this time is requested again.
inline constexpr duration index_timeout = std::chrono::seconds(1);

/// Minimum interval between index pulls of a process whose view is proven. An
/// index of 500 sections has about 20 KB; the control traffic of a process must
/// stay below 2 KB/s.
inline constexpr duration index_interval = std::chrono::seconds(30);

} // namespace internal

template <document_sink Sink>
void document::begin_proof(instant now, Sink& sink) {
    proof_ = internal::view_proof{.since = now, .nonce = random_.next()};
    if (peers_.is_empty())
        proof_.peer = internal::proof_state::failed;
    watch_.failures = 0;
    send_watch(now, 0, sink);
    for (int i = 0; i != internal::proof_peer_count; ++i)
        query_peer(peers_.choose(random_), proof_.nonce, sink);
    next_digest_at_ = now + internal::proof_interval;
}

template <document_sink Sink>
void document::check_proof(instant now, Sink& sink) {
    if (proof_.is_proven)
        return;
    auto const elapsed = now - proof_.since;
    auto const elapsed_ms =
        static_cast<std::uint64_t>(elapsed / std::chrono::milliseconds(1));
    if (proof_.is_confirmed(now, options_.proof_timeout) && is_settled()) {
        proof_.is_proven = true;
        report(sink, document_event::view_proven, {}, elapsed_ms);
    } else if (elapsed >= options_.proof_timeout && !proof_.is_timeout_logged) {
        proof_.is_timeout_logged = true;
        report(sink, document_event::view_unproven, {}, elapsed_ms);
    }
}

template <document_sink Sink>
void document::query_peer(endpoint peer, std::uint64_t nonce, Sink& sink) {
    if (peer.is_set())
        sink.send_digest(peer, make_digest(nonce, false));
}

template <document_sink Sink>
void document::run_digests(instant now, Sink& sink) {
    if (now < next_digest_at_)
        return;
    bool const is_urgent =
        !proof_.is_proven && now - proof_.since < options_.proof_timeout;
    next_digest_at_ =
        now + (is_urgent ? internal::proof_interval : options_.digest_interval);
    auto const nonce = proof_.is_proven ? random_.next() : proof_.nonce;
    query_peer(peers_.choose(random_), nonce, sink);
}

template <document_sink Sink>
void document::reply_to_peer(peer_digest const& request, Sink& sink) {
    auto reply = make_digest(request.nonce, true);
    auto& entries = reply.entries;
    // Sections of which the peer has an older revision come first. An agent
    // needs few sections and gets the revisions of all that it listed, so that
    // it can determine whether its view is up to date.
    for (auto const& it : request.entries)
        if (!request.is_balancer || table_.held(it.name) > it.held)
            add_entry(entries, it.name);
    for (auto const& it : table_.recent())
        add_entry(entries, it->name);
    for (auto const& it : request.entries)
        add_entry(entries, it.name);
    sink.send_digest(request.origin.sender, reply);
}

template <document_sink Sink>
void document::handle(instant now, peer_digest const& digest, Sink& sink) {
    if (check_pause(now, sink) || !digest.origin.sender.is_set())
        return;
    if (digest.is_balancer)
        peers_.received_from_balancer(digest.origin.sender, now);
    else
        peers_.received_from(digest.origin.sender, now);
    if (!digest.is_reply)
        reply_to_peer(digest, sink);
    compare_digest(now, digest, sink);
    run_reads(now, sink);
    check_proof(now, sink);
}

template <document_sink Sink>
void document::compare_digest(
    instant now, peer_digest const& digest, Sink& sink) {
    bool const is_difference_explained = differs_from(digest);
    for (auto const& it : digest.entries)
        schedule_read(now, it, digest.origin.sender, duration{0}, sink);
    if (!digest.is_reply)
        return;
    if (!proof_.is_proven && digest.nonce == proof_.nonce) {
        handle_proof_reply(now, digest, sink);
        return;
    }
    bool const is_comparable = options_.is_balancer && digest.is_balancer;
    if (is_comparable && digest.view_hash != table_.view_hash() &&
        !is_difference_explained && now >= next_index_at_)
        pull_index(now, digest.origin.sender, false, sink);
}

template <document_sink Sink>
void document::handle_proof_reply(
    instant now, peer_digest const& digest, Sink& sink) {
    using internal::proof_state;
    if (proof_.peer == proof_state::confirmed)
        return;
    if (!options_.is_balancer) {
        if (digest.is_proven && covers_needed_sections(digest))
            proof_.peer = proof_state::confirmed;
        else if (proof_.peer == proof_state::pending && !digest.is_proven)
            proof_.peer = proof_state::failed;
        return;
    }
    if (!digest.is_balancer)
        return; // An agent has too few sections to prove a balancer's view.
    if (digest.view_hash == table_.view_hash()) {
        proof_.peer =
            digest.is_proven ? proof_state::confirmed : proof_state::failed;
        return;
    }
    bool const is_pulling =
        proof_.index_peer.is_set() && now < proof_.index_deadline;
    if (!is_pulling || (digest.is_proven && !proof_.is_index_peer_proven))
        pull_index(now, digest.origin.sender, digest.is_proven, sink);
}

template <document_sink Sink>
void document::pull_index(
    instant now, endpoint peer, bool is_peer_proven, Sink& sink) {
    proof_.index_peer = peer;
    proof_.is_index_peer_proven = is_peer_proven;
    proof_.index_deadline = now + internal::index_timeout;
    next_index_at_ = now + internal::index_interval;
    sink.pull_index(peer);
}

template <document_sink Sink>
void document::pull(instant now, std::string_view name, revision newer,
    endpoint peer, Sink& sink) {
    schedule_read(now, {name, newer}, peer, duration{0}, sink);
    run_reads(now, sink);
}

template <document_sink Sink>
void document::observe(
    instant now, service_id service, stamp const& seen, Sink& sink) {
    if (check_pause(now, sink))
        return;
    peers_.received_from(seen.sender, now);
    bool is_outdated = false;
    if (seen.domains_revision > table_.domains_revision()) {
        is_outdated = true;
        schedule_read(now, {internal::domains_name, seen.domains_revision},
            seen.sender, duration{0}, sink);
    }
    auto const* held = table_.service(service);
    if (held != nullptr && seen.service_revision > held->held) {
        is_outdated = true;
        schedule_read(now, {held->name, seen.service_revision}, seen.sender,
            duration{0}, sink);
    }
    if (is_outdated)
        run_reads(now, sink);
}

} // namespace radishspread

#endif
