#include <fakes/rs_process.hpp>
#include <fakes/rs_simulation.hpp>

namespace radishspread::fakes {

using namespace std::chrono_literals;

namespace {
constexpr duration stream_setup = 1ms;
constexpr duration failure_time = 300ms;
} // namespace

process::process(simulation& owner, process_facts facts)
    : world_(owner), facts_(facts) {}

void process::post(std::function<void()> action) {
    if (is_paused_)
        actions_.push_back(std::move(action));
    else
        action();
}

void process::post_datagram(std::function<void()> action) {
    if (is_paused_)
        datagrams_.push_back(std::move(action));
    else
        action();
}

void process::resume() {
    is_paused_ = false;
    // The first call after the gap lets the core discard what was queued.
    tick();
    auto const datagrams = std::move(datagrams_);
    datagrams_.clear();
    for (auto const& it : datagrams)
        it();
    auto const actions = std::move(actions_);
    actions_.clear();
    for (auto const& it : actions)
        it();
}

std::function<void()> process::guarded(std::function<void(process&)> action) {
    return [owner = &world_, self = facts_.self, life = facts_.life,
               action = std::move(action)] {
        auto* const it = owner->find(self);
        if (it != nullptr && it->facts().life == life)
            it->post([it, action] { action(*it); });
    };
}

void process::learn(section_ptr value, std::string const& name, endpoint peer) {
    if (value)
        value = world_.filter().process_receives(value);
    if (value)
        on(section_event{.value = value, .peer = peer});
    else
        on(read_failed_event{.name = name, .peer = peer});
}

void process::log(log_event const& event) {
    world_.observer().logged(facts_.self, event);
}

void process::read_section(std::string_view name) {
    world_.observer().reads_section(facts_.self, {}, name);
    std::string const key(name);
    if (group != 0)
        return world_.queue.after(failure_time,
            guarded([key](process& it) { it.learn(nullptr, key, {}); }));
    world_.configuration.read(
        name, [owner = &world_, at = facts_.self, life = facts_.life, key](
                  section_ptr const& value) {
            auto* const it = owner->find(at);
            if (it != nullptr && it->facts().life == life)
                it->post([it, value, key] { it->learn(value, key, {}); });
        });
}

void process::watch(std::uint64_t after) {
    if (group != 0)
        return world_.queue.after(failure_time,
            guarded([](process& it) { it.on(watch_failed_event{}); }));
    world_.configuration.watch(after, facts_.learns_late,
        [owner = &world_, at = facts_.self, life = facts_.life](bool is_fine,
            std::uint64_t index, std::vector<digest_entry> const& changes) {
            auto* const it = owner->find(at);
            if (it == nullptr || it->facts().life != life)
                return;
            it->post([it, is_fine, index, changes] {
                if (is_fine && it->group == 0)
                    it->on(watch_event{.index = index, .changes = changes});
                else
                    it->on(watch_failed_event{});
            });
        });
}

void process::pull_section(endpoint peer, std::string_view name) {
    world_.observer().reads_section(facts_.self, peer, name);
    std::string const key(name);
    auto* const other = world_.find(peer);
    bool const is_up =
        other && !other->is_paused() && world_.can_reach(*this, *other);
    if (!is_up)
        return world_.queue.after(failure_time,
            guarded(
                [key, peer](process& it) { it.learn(nullptr, key, peer); }));
    world_.queue.after(stream_setup + 2 * world_.delay(*this, *other),
        guarded([key, peer, value = other->view().find(name)](
                    process& it) { it.learn(value, key, peer); }));
}

void process::pull_index(endpoint peer) {
    auto* const other = world_.find(peer);
    bool const is_up =
        other && !other->is_paused() && world_.can_reach(*this, *other);
    if (!is_up)
        return world_.queue.after(failure_time, guarded([peer](process& it) {
            it.on(watch_failed_event{.peer = peer});
        }));
    std::vector<std::pair<std::string, revision>> held;
    for (auto const& it : other->view().index())
        held.emplace_back(it.name, it.held);
    world_.queue.after(stream_setup + 2 * world_.delay(*this, *other),
        guarded([peer, held](process& it) {
            std::vector<digest_entry> changes;
            changes.reserve(held.size());
            for (auto const& [name, revision] : held)
                changes.push_back({name, revision});
            it.on(watch_event{.changes = changes, .peer = peer});
        }));
}

void process::send_digest(endpoint peer, peer_digest const& digest) {
    world_.observe_stamp(*this, digest.origin);
    world_.send_datagram(*this, peer, encoder_.encode(digest));
}

} // namespace radishspread::fakes
