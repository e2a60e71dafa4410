#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_process.hpp>

#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::runtime;

namespace {

/// Core that only detects pauses and counts the datagrams it receives.
class counting_core : public driver {
public:
    explicit counting_core(process& owner) : owner_(owner) {}

    std::size_t datagrams = 0;
    std::size_t pending = 0;
    bool is_stopped = false;

    void start() override { last_tick_at_ = owner_.now(); }
    void tick() override {
        if (owner_.now() - last_tick_at_ > std::chrono::milliseconds(300))
            owner_.discard_queued();
        last_tick_at_ = owner_.now();
    }
    void stop(duration) override { is_stopped = true; }
    bool is_finished() const override { return is_stopped && pending == 0; }
    std::size_t outstanding() const override { return pending; }
    void handle_datagrams(
        socket_key, receive_batch const&, std::size_t count) override {
        datagrams += count;
    }
    void flush() override {}
    section_ptr find(std::string_view) const override { return {}; }
    std::vector<digest_entry> index() const override { return {}; }
    domains_section const* domains() const override { return nullptr; }
    void handle(section_event const&) override {}
    void handle(section_refused_event const&) override {}
    void handle(read_failed_event const&) override {}
    void handle(watch_event const&) override {}
    void handle(watch_failed_event const&) override {}

private:
    process& owner_;
    instant last_tick_at_;
};

config::settings make_settings() {
    config::settings it;
    it.name = "test";
    it.address = INADDR_LOOPBACK + 4;
    it.peer_port = 19'317;
    it.stop_deadline = std::chrono::milliseconds(100);
    return it;
}

} // namespace

TEST_GROUP(process_loop) {
    process owner{make_settings(), "settings.yaml"};
    counting_core core{owner};
    unique_fd sender{socket(AF_INET, SOCK_DGRAM, 0)};

    void send(int count) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(owner.self().address);
        to.sin_port = htons(owner.self().port);
        for (int n = 0; n < count; ++n)
            sendto(sender.get(), "x", 1, 0, reinterpret_cast<sockaddr*>(&to),
                sizeof to);
    }

    static void call_after(guint ms, std::function<void()> call) {
        g_timeout_add_full(
            G_PRIORITY_DEFAULT, ms,
            [](gpointer data) -> gboolean {
                (*static_cast<std::function<void()>*>(data))();
                return FALSE;
            },
            new std::function<void()>(std::move(call)),
            [](gpointer data) {
                delete static_cast<std::function<void()>*>(data);
            });
    }
};

// Packets received before a pause would be handled with a stale view, and their
// callers have timed out or retransmitted them.
TEST(process_loop, datagrams_queued_before_a_pause_are_discarded) {
    call_after(60, [this] {
        send(40);
        g_usleep(400'000);
    });
    call_after(700, [this] { send(3); });
    call_after(800, [] { std::raise(SIGTERM); });
    CHECK_EQUAL(0, owner.run(core));
    CHECK_EQUAL(3U, core.datagrams);
    CHECK_EQUAL(40U, owner.counters().datagrams_discarded.value());
}

// Operators must be able to tell a graceful shutdown from one that aborted
// requests.
TEST(process_loop, stop_deadline_with_requests_outstanding_exits_with_1) {
    core.pending = 2;
    call_after(10, [] { std::raise(SIGTERM); });
    CHECK_EQUAL(1, owner.run(core));
    CHECK_TRUE(core.is_stopped);
}

// A second signal must end the process without waiting for the stop deadline.
TEST(process_loop, second_signal_ends_the_process_at_once) {
    core.pending = 1;
    auto const begin = monotonic_now();
    call_after(10, [] { std::raise(SIGTERM); });
    call_after(30, [] { std::raise(SIGTERM); });
    CHECK_EQUAL(1, owner.run(core));
    CHECK_TRUE(monotonic_now() - begin < std::chrono::milliseconds(95));
}
