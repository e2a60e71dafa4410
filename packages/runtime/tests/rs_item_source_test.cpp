#include "rs_http2_test_server.hpp"

#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_item_source.hpp>

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

namespace {

/// Platform whose configuration service has one item, which is unreadable.
struct unreadable_item_platform {
    static std::optional<flow_packet> decode(std::span<std::byte const>) {
        return std::nullopt;
    }
    static void clear_returned_flag(std::span<std::byte>) {}
    static std::vector<std::byte> encode_reset(
        packet_flow const&, std::uint32_t) {
        return {};
    }
    static std::string path_of(item_call const& call) {
        return call.is_watch ? "/watch" : "/read";
    }
    static std::optional<item_page> parse_page(std::string&) {
        return item_page{.changes = {{.name = "backend/note",
                             .revision = 1,
                             .content = no_content{},
                             .is_unreadable = true}},
            .as_of = 1};
    }
    static std::vector<std::string> prefixes() { return {"backend/"}; }
    static char const* era_header() { return "Era"; }
    static char const* readiness_path() { return "/ready"; }
};

/// Platform whose configuration service has no items.
struct empty_platform : unreadable_item_platform {
    static std::optional<item_page> parse_page(std::string&) {
        return item_page{.as_of = 1};
    }
};

/// Configuration service that responds to reads at once. It responds to one
/// watch if the test sets `watch_reply`, and to no other.
class silent_watch_service {
public:
    std::string read_reply = "{}";
    std::string watch_reply;
    bool is_hasty = false; ///< Responds to all watches, at once.
    unsigned era = 3;      ///< In all responses.

    silent_watch_service() : server_(soup_server_new(nullptr, nullptr)) {
        soup_server_add_handler(server_, "/read", serve_read, this, nullptr);
        soup_server_add_handler(server_, "/watch", serve_watch, this, nullptr);
        GError* error = nullptr;
        soup_server_listen_local(
            server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error);
        CHECK(error == nullptr);
    }
    ~silent_watch_service() {
        soup_server_disconnect(server_);
        for (auto* message : watches_)
            g_object_unref(message);
        g_object_unref(server_);
    }
    silent_watch_service(silent_watch_service const&) = delete;
    silent_watch_service& operator=(silent_watch_service const&) = delete;

    [[nodiscard]] endpoint address() const {
        auto* uris = soup_server_get_uris(server_);
        auto const port = g_uri_get_port(static_cast<GUri*>(uris->data));
        g_slist_free_full(
            uris, [](gpointer it) { g_uri_unref(static_cast<GUri*>(it)); });
        return {.address = INADDR_LOOPBACK,
            .port = static_cast<std::uint16_t>(port)};
    }
    [[nodiscard]] std::size_t reads() const { return reads_; }
    [[nodiscard]] std::size_t watches() const { return watches_.size(); }
    [[nodiscard]] std::size_t calls() const { return reads_ + hasty_watches_; }

private:
    static void serve_read(SoupServer*, SoupServerMessage* message, char const*,
        GHashTable*, gpointer self) {
        auto& service = *static_cast<silent_watch_service*>(self);
        ++service.reads_;
        service.respond(message, service.read_reply);
    }
    void respond(SoupServerMessage* message, std::string const& body) const {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "Era",
            std::to_string(era).c_str());
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_server_message_set_response(message, "application/json",
            SOUP_MEMORY_COPY, body.data(), body.size());
    }
    static void serve_watch(SoupServer*, SoupServerMessage* message,
        char const*, GHashTable*, gpointer self) {
        auto& service = *static_cast<silent_watch_service*>(self);
        if (service.is_hasty) {
            ++service.hasty_watches_;
            return service.respond(message, "{}");
        }
        if (!service.watch_reply.empty())
            return service.respond(
                message, std::exchange(service.watch_reply, std::string()));
        soup_server_message_pause(message);
        service.watches_.push_back(
            static_cast<SoupServerMessage*>(g_object_ref(message)));
    }

    SoupServer* server_;
    std::size_t reads_ = 0;
    std::size_t hasty_watches_ = 0;
    std::vector<SoupServerMessage*> watches_;
};

} // namespace

TEST_GROUP(item_source) {
    silent_watch_service service;
    fleet_view view;
    static constexpr std::size_t max_reply_size = 4U << 20U;
    configuration_client client{{.service = service.address(),
        .max_reply_size = max_reply_size,
        .era_header = unreadable_item_platform::era_header()}};
    std::vector<std::string> ignored;   ///< Names in the events.
    std::vector<std::int64_t> restored; ///< Eras in the events.
    item_source<unreadable_item_platform> source{{.prefix = "backend/"},
        "/peer", view, client, service.address(), [](item_page const&, bool) {},
        [this](packet_log const& it) {
            if (it.number == packet_event::item_ignored)
                ignored.emplace_back(it.text);
            if (it.number == packet_event::source_restored)
                restored.push_back(it.value);
        }};

    void setup() override {
        source.clock = [] {
            return monotonic_now();
        };
    }

    /// Cancelled calls are freed by the main loop.
    void teardown() override {
        client.reset();
        while (g_main_context_iteration(nullptr, FALSE) != FALSE)
            continue;
    }

    /// Starts calls that are due until the service has received `count`
    /// watches.
    bool run_until_watches(std::size_t count) {
        return test::run_until([&] {
            source.start_due_call(monotonic_now());
            return service.watches() >= count;
        });
    }
};

// The calls that rereads dropped stayed open at the service until their watches
// timed out. They held all connections of the client, so that no read could
// start, and callers of lost flows waited 0.7 s for their resets.
TEST(item_source, rereads_during_watches_never_wait_for_a_connection) {
    constexpr std::size_t rereads = 12;
    CHECK(run_until_watches(1));
    for (std::size_t n = 1; n <= rereads; ++n) {
        source.reread(monotonic_now());
        CHECK(run_until_watches(n + 1));
        CHECK_EQUAL(n + 1, service.reads());
    }
}

// Each complete read returns the items of other writers again; a line for each
// would fill the log, and without the name operators cannot find the writer.
TEST(item_source, unreadable_item_is_logged_once_with_its_name) {
    CHECK(run_until_watches(1));
    source.reread(monotonic_now());
    CHECK(run_until_watches(2));
    CHECK_EQUAL(1, ignored.size());
    CHECK_EQUAL(std::string("backend/note"), ignored[0]);
}

// The first reply of a process names an era too, which is no change.
TEST(item_source, only_a_change_of_the_era_is_logged) {
    CHECK(run_until_watches(1));
    CHECK(restored.empty());
    CHECK_EQUAL(3, source.follower().era());
    service.era = 4;
    source.reread(monotonic_now());
    CHECK(run_until_watches(2));
    CHECK_EQUAL(1, restored.size());
    CHECK_EQUAL(4, restored[0]);
}

// One item of the largest size makes the reply longer than the limit was. A
// process that started then never got ready.
TEST(item_source, reply_with_the_largest_item_is_read) {
    service.read_reply = std::string(max_reply_size, ' ');
    CHECK(run_until_watches(1));
    CHECK(source.is_complete());
}

// The same watch fails each time, so that the process followed no change any
// more.
TEST(item_source, watch_with_too_large_a_reply_is_followed_by_a_read) {
    service.watch_reply = std::string(max_reply_size + 1, ' ');
    CHECK(run_until_watches(1));
    CHECK_EQUAL(2, service.reads());
}

// A watch that returns at once without events was started again at once: some
// 7,000 calls a second by each process, against 2,000 that all may make.
TEST(item_source, watch_that_returns_at_once_is_repeated_within_the_budget) {
    constexpr std::size_t limit = 40;
    service.is_hasty = true;
    configuration_client paced{
        {.service = service.address(), .calls_per_second = limit}};
    item_source<empty_platform> hasty{{.prefix = "backend/"}, "/peer", view,
        paced, service.address(), [](item_page const&, bool) {},
        [](packet_log const&) {
        }};
    hasty.clock = source.clock;
    auto const end = monotonic_now() + std::chrono::seconds(1);
    test::run_until([&] {
        hasty.start_due_call(monotonic_now());
        return monotonic_now() >= end;
    });
    paced.reset();
    CHECK(service.calls() > 2);
    CHECK(service.calls() <= limit);
}
