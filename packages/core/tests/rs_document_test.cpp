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
    document it{balancer_with({peer})};
    instant now{100s};

    void step(duration time) {
        for (auto const end = now + time; now < end;) {
            now += 50ms;
            it.tick(now, sink);
        }
    }
    void watched(std::vector<digest_entry> const& changes) {
        it.handle(now, watch_event{.index = 9, .changes = changes}, sink);
    }
    void indexed(std::vector<digest_entry> const& changes) {
        it.handle(now, watch_event{.changes = changes, .peer = peer}, sink);
    }
    void arrived(section_ptr value, endpoint from = {}) {
        it.handle(now, section_event{std::move(value), from}, sink);
    }
    peer_digest answer_of_peer(bool is_proven) {
        return {.origin = {.sender = peer},
            .nonce = sink.digests.back().value.nonce,
            .is_reply = true,
            .is_proven = is_proven,
            .is_balancer = true,
            .view_hash = 1};
    }
    void prove() {
        it.start(now, sink);
        watched({{"domains", 1}});
        arrived(make_domains(1));
        step(2s);
        CHECK_TRUE(it.is_proven());
        sink.clear();
    }
};

// P10: a new process that believes a stale replica of the configuration
// service would bring an older section back into effect.
TEST(document_reader, stale_service_at_start_newer_revision_of_peer_wins) {
    it.start(now, sink);
    it.handle(now, answer_of_peer(true), sink);
    CHECK_EQUAL(1, sink.indexes.size());
    watched({{"domains", 4}});
    CHECK_TRUE(sink.has_read("domains", {}));
    indexed({{"domains", 5}});
    arrived(make_domains(4, {1}));
    CHECK_FALSE(it.is_proven());
    step(1s);
    CHECK_TRUE(sink.has_read("domains", peer));
    arrived(make_domains(5), peer);
    CHECK_TRUE(it.is_proven());
    CHECK_FALSE(it.is_out(1));
}

// P10: an older revision that arrives late must not revert an edit.
TEST(document_reader, older_revision_after_newer_is_ignored) {
    prove();
    arrived(make_domains(5, {2}));
    arrived(make_domains(4));
    CHECK_EQUAL(5, it.held("domains"));
    CHECK_TRUE(it.is_out(2));
}
