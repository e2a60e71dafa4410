#include "rs_recording_sink.hpp"

#include <radishspread/core/rs_document.hpp>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;
using namespace std::chrono_literals;

namespace {

constexpr endpoint self{0x7f000001, 7000};
constexpr endpoint peer{0x7f000001, 7001};

document_options balancer_with(std::vector<endpoint> peers) {
    return {.self = self, .is_balancer = true, .peers = std::move(peers)};
}

} // namespace

// Time starts at 100 s; `step` advances it by ticks of 50 ms.
TEST_GROUP(document_reader) {
    recording_sink sink;
    document view{balancer_with({peer})};
    instant now{100s};

    void step(duration time) {
        for (auto const end = now + time; now < end;) {
            now += 50ms;
            view.tick(now, sink);
        }
    }
    void receive_changes(std::vector<digest_entry> const& changes) {
        view.handle(now, watch_event{.index = 9, .changes = changes}, sink);
    }
    void receive_index(std::vector<digest_entry> const& changes) {
        view.handle(now, watch_event{.changes = changes, .peer = peer}, sink);
    }
    void receive_section(section_ptr value, endpoint from = {}) {
        view.handle(now, section_event{std::move(value), from}, sink);
    }
    peer_digest make_proof_reply(bool is_proven) {
        return {.origin = {.sender = peer},
            .nonce = sink.digests.empty() ? 1 : sink.digests.back().value.nonce,
            .is_reply = true,
            .is_proven = is_proven,
            .is_balancer = true,
            .view_hash = 1};
    }
    // Proves the view through the configuration service; the peer does not
    // reply. On return a watch that was sent in the last 2 s awaits its reply.
    void prove() {
        view.start(now, sink);
        receive_changes({{"domains", 1}});
        receive_section(make_domains(1));
        step(2s);
        CHECK_TRUE(view.is_proven());
        sink.clear();
    }
};

// P10: a newly started process that relied on a stale replica of the
// configuration service alone would put an older section into effect again.
TEST(document_reader, newer_revision_of_peer_replaces_that_of_stale_service) {
    view.start(now, sink);
    view.handle(now, make_proof_reply(true), sink);
    CHECK_EQUAL(1, sink.indexes.size());
    receive_changes({{"domains", 4}});
    CHECK_TRUE(sink.has_read("domains", {}));
    receive_index({{"domains", 5}});
    receive_section(make_domains(4, {1}));
    CHECK_FALSE(view.is_proven());
    step(1s);
    CHECK_TRUE(sink.has_read("domains", peer));
    receive_section(make_domains(5), peer);
    CHECK_TRUE(view.is_proven());
    CHECK_FALSE(view.is_out(1));
}

// P10: an older revision that is received late must not revert an edit.
TEST(document_reader, older_revision_after_newer_is_ignored) {
    prove();
    receive_section(make_domains(5, {2}));
    receive_section(make_domains(4));
    CHECK_EQUAL(5, view.held("domains"));
    CHECK_TRUE(view.is_out(2));
}

// P4: while only one source has replied, the other may have newer revisions;
// its reply is awaited for at most 2 s.
TEST(document_reader, unresponsive_peer_at_start_delays_proof_by_timeout) {
    view.start(now, sink);
    receive_changes({{"domains", 1}});
    receive_section(make_domains(1));
    step(1950ms);
    CHECK_FALSE(view.is_proven());
    step(50ms);
    CHECK_TRUE(view.is_proven());
}

// A peer with an unproven view may be as stale as this process.
TEST(document_reader, unproven_peer_does_not_prove_view) {
    view.start(now, sink);
    view.handle(now, watch_failed_event{}, sink);
    view.handle(now, make_proof_reply(false), sink);
    receive_index({{"domains", 1}});
    receive_section(make_domains(1), peer);
    step(5s);
    CHECK_FALSE(view.is_proven());
    CHECK_TRUE(sink.has_log(document_event::view_unproven));
    view.handle(now, make_proof_reply(true), sink);
    receive_index({{"domains", 1}});
    CHECK_TRUE(view.is_proven());
}

// A reply to a request from before a pause may be outdated and must not prove
// the view.
TEST(document_reader, reply_from_before_pause_does_not_prove_view) {
    prove();
    step(1s);
    auto const old = make_proof_reply(true);
    now += 1500ms;
    view.tick(now, sink);
    CHECK_EQUAL(1, sink.discards);
    CHECK_FALSE(view.is_proven());
    CHECK_EQUAL(0, sink.watches.back());
    view.handle(now, old, sink);
    receive_index({{"domains", 1}});
    view.handle(now, watch_failed_event{}, sink);
    step(3s);
    CHECK_FALSE(view.is_proven());
}

// P4: a replica with older revisions than this process cannot prove the view.
TEST(document_reader, stale_service_after_pause_does_not_prove_view) {
    prove();
    receive_section(make_domains(5));
    now += 1500ms;
    view.tick(now, sink);
    receive_changes({{"domains", 4}});
    step(3s);
    CHECK_FALSE(view.is_proven());
    CHECK_EQUAL(0, sink.watches.back());
    receive_changes({{"domains", 5}});
    CHECK_TRUE(view.is_proven());
}

// Reading a refused revision repeatedly would load the configuration service.
TEST(document_reader, refused_revision_is_not_read_again) {
    prove();
    receive_changes({{"service/s1", 3}});
    step(2s);
    CHECK_EQUAL(1, sink.reads.size());
    view.handle(
        now, section_refused_event{.name = "service/s1", .refused = 3}, sink);
    receive_changes({{"service/s1", 3}});
    step(5s);
    CHECK_EQUAL(1, sink.reads.size());
    receive_section(make_service(2, 2, 3));
    step(5s);
    CHECK_EQUAL(1, sink.reads.size());
    // The refused revision may refer to a failure domain that only the new
    // revision of `domains` has.
    receive_section(make_domains(2));
    step(2s);
    CHECK_EQUAL(2, sink.reads.size());
}

// Names of failure domains cannot be resolved before `domains` is in effect.
TEST(document_reader, service_before_domains_waits) {
    view.start(now, sink);
    receive_changes({{"service/s1", 3}, {"domains", 1}});
    step(1s);
    CHECK_FALSE(sink.has_read("service/s1", {}));
    receive_section(make_domains(1));
    CHECK_TRUE(sink.has_read("service/s1", {}));
}

// P4: with an outdated number of its failure domain a backend server would stay
// in use after the domain is taken out.
TEST(document_reader, renumbered_domain_is_applied_to_services_in_effect) {
    prove();
    auto renamed = *make_service(1, 1, 3);
    auto& all = std::get<service_section>(renamed.content).backend_servers;
    all[0].domain_name = "d2"; // Has number 1 in an older `domains`.
    receive_section(std::make_shared<section const>(renamed));
    CHECK_EQUAL(2, view.service(1)->backend_servers[0].domain);
    auto changed = *make_domains(2);
    std::get<domains_section>(changed.content).failure_domains[1].id = 9;
    receive_section(std::make_shared<section const>(changed));
    CHECK_EQUAL(9, view.service(1)->backend_servers[0].domain);
}

// P2: two sections with the same service id would mix their backend servers.
TEST(document_reader, second_section_with_service_id_is_refused) {
    prove();
    receive_section(make_service(1, 1, 3));
    auto copy = *make_service(7, 1, 3);
    copy.name = "service/other";
    receive_section(std::make_shared<section const>(copy));
    CHECK_EQUAL(0, view.held("service/other"));
    CHECK_TRUE(sink.has_log(document_event::service_conflict));
}

// P10: if the configuration service is unreachable, a section must be read from
// the peer that holds it, and an unreachable peer must not block the service.
TEST(document_reader, unreachable_peer_and_service_are_tried_in_turn) {
    prove();
    view.observe(now, 0, {.sender = peer, .domains_revision = 2}, sink);
    CHECK_TRUE(sink.has_read("domains", peer));
    CHECK_FALSE(sink.has_read("domains", {}));
    step(3s);
    CHECK_TRUE(sink.has_read("domains", {}));
    sink.clear();
    step(4s);
    CHECK_TRUE(sink.has_read("domains", peer));
}

// A failing configuration service must get at most one call per 30 s in the
// long run, and not from all processes at the same time.
TEST(document_reader, failing_watch_backs_off) {
    prove();
    view.handle(now, watch_failed_event{}, sink);
    std::size_t seen = 0;
    for (int i = 0; i != 4000; ++i) {
        step(50ms);
        if (sink.watches.size() == seen)
            continue;
        seen = sink.watches.size();
        view.handle(now, watch_failed_event{}, sink);
    }
    CHECK_TRUE(sink.watches.size() > 8);
    CHECK_TRUE(sink.watches.size() < 40);
}

// An unresponsive connection would otherwise hide every later change.
TEST(document_reader, unresponsive_watch_is_replaced_after_30_s) {
    prove();
    step(27900ms);
    CHECK_EQUAL(0, sink.watches.size());
    step(3s);
    CHECK_EQUAL(1, sink.watches.size());
}

// After a lower position, changes in between could be missed.
TEST(document_reader, lower_position_leads_to_full_list) {
    prove();
    view.handle(now, watch_event{.index = 4}, sink);
    step(2s);
    CHECK_EQUAL(1, sink.watches.size());
    CHECK_EQUAL(0, sink.watches[0]);
}

// The reply to a peer's digest must include the sections that are outdated at
// the peer, even if they changed long ago.
TEST(document_reader, reply_to_outdated_peer_has_newer_revisions) {
    prove();
    for (service_id id = 1; id <= 9; ++id)
        receive_section(make_service(2, id, 1));
    peer_digest request{.origin = {.sender = peer}, .nonce = 4};
    request.entries.push_back({.name = "service/s1", .held = 1});
    request.entries.push_back({.name = "domains", .held = 8});
    view.handle(now, request, sink);
    auto const& reply = sink.digests.back();
    CHECK_TRUE(reply.value.is_reply);
    CHECK_EQUAL(4, reply.value.nonce);
    CHECK_EQUAL(std::string("service/s1"), reply.entries[1].first);
    CHECK_EQUAL(2, reply.entries[1].second);
    CHECK_TRUE(sink.has_read("domains", peer));
}

// View hashes that differ although no entry does mean that a section is missing
// or outdated at one side. Pulling the index every second would exceed 2 KB/s.
TEST(document_reader, unexplained_difference_pulls_one_index) {
    prove();
    auto digest = make_proof_reply(true);
    digest.entries.push_back({.name = "domains", .held = 1});
    view.handle(now, digest, sink);
    view.handle(now, digest, sink);
    CHECK_EQUAL(1, sink.indexes.size());
}

TEST_GROUP(section_limits){
    static section_ptr sized(char const* name, std::size_t bytes){
        return std::make_shared<section const>(section{.name = name,
            .held = 1,
            .text = std::string(bytes, ' '),
            .content = hosts_section{}});
}
}
;

// Without limits on sections a process would exceed its 32 MB of memory.
TEST(section_limits, section_over_any_limit_is_refused) {
    using internal::insert_result;
    internal::section_table table(2, 1000);
    auto const insert = [&](char const* name, std::size_t bytes) {
        return table.insert(sized(name, bytes));
    };
    CHECK_TRUE(insert_result::too_large == insert("hosts/a", 1001));
    CHECK_TRUE(insert_result::accepted == insert("hosts/a", 600));
    CHECK_TRUE(insert_result::too_large == insert("hosts/b", 600));
    CHECK_TRUE(insert_result::accepted == insert("hosts/b", 400));
    CHECK_TRUE(insert_result::table_full == insert("hosts/c", 0));
    CHECK_TRUE(insert_result::wrong_content == insert("domains", 0));
}

// A balancer that read each change of a long host list would use most of its
// 2 KB/s of control traffic for it. A short list is read without such a delay.
TEST(document_reader, long_host_list_is_read_again_at_bounded_rate) {
    prove();
    auto const list = [&](char const* name, std::size_t size) {
        return std::make_shared<section const>(section{.name = name,
            .held = 2,
            .text = std::string(size, ' '),
            .content = hosts_section{}});
    };
    receive_section(list("hosts/long", 3200));
    receive_section(list("hosts/short", 32));
    receive_changes({{"hosts/long", 3}, {"hosts/short", 3}});
    step(4s);
    CHECK_TRUE(sink.has_read("hosts/short", {}));
    CHECK_FALSE(sink.has_read("hosts/long", {}));
    step(97s);
    CHECK_TRUE(sink.has_read("hosts/long", {}));
}
