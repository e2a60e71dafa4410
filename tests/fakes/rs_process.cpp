#include <fakes/rs_process.hpp>
#include <fakes/rs_simulation.hpp>

namespace radishspread::fakes {

using namespace std::chrono_literals;

namespace {
constexpr duration stream_setup_time = 1ms;
constexpr duration failure_time = 300ms;
} // namespace

process::process(simulation& owner, process_info info)
    : simulation_(owner), info_(info) {}

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
    // The first call after a pause lets the core discard the queued datagrams.
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
    return [owner = &simulation_, self = info_.self,
               generation = info_.generation, action = std::move(action)] {
        auto* const it = owner->find(self);
        if (it != nullptr && it->info().generation == generation)
            it->post([it, action] { action(*it); });
    };
}

void process::handle_read(
    section_ptr value, std::string const& name, endpoint peer) {
    if (value)
        value = simulation_.filter().process_receives(value);
    if (value)
        on(section_event{.value = value, .peer = peer});
    else
        on(read_failed_event{.name = name, .peer = peer});
}

void process::log(log_event const& event) {
    simulation_.observer().logged(info_.self, event);
}

void process::read_section(std::string_view name) {
    simulation_.observer().reads_section(info_.self, {}, name);
    std::string const key(name);
    if (group != 0)
        return simulation_.queue.after(failure_time,
            guarded([key](process& it) { it.handle_read(nullptr, key, {}); }));
    simulation_.configuration.read(name,
        [owner = &simulation_, at = info_.self, generation = info_.generation,
            key](section_ptr const& value) {
            auto* const it = owner->find(at);
            if (it != nullptr && it->info().generation == generation)
                it->post([it, value, key] { it->handle_read(value, key, {}); });
        });
}

void process::watch(std::uint64_t after) {
    if (group != 0)
        return simulation_.queue.after(failure_time,
            guarded([](process& it) { it.on(watch_failed_event{}); }));
    simulation_.configuration.watch(after, info_.watch_delay,
        [owner = &simulation_, at = info_.self, generation = info_.generation](
            bool is_fine, std::uint64_t index,
            std::vector<digest_entry> const& changes) {
            auto* const it = owner->find(at);
            if (it == nullptr || it->info().generation != generation)
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
    simulation_.observer().reads_section(info_.self, peer, name);
    std::string const key(name);
    auto* const other = simulation_.find(peer);
    bool const is_up =
        other && !other->is_paused() && simulation_.can_reach(*this, *other);
    if (!is_up)
        return simulation_.queue.after(
            failure_time, guarded([key, peer](process& it) {
                it.handle_read(nullptr, key, peer);
            }));
    simulation_.queue.after(
        stream_setup_time + 2 * simulation_.delay(*this, *other),
        guarded([key, peer, value = other->view().find(name)](
                    process& it) { it.handle_read(value, key, peer); }));
}

void process::pull_index(endpoint peer) {
    auto* const other = simulation_.find(peer);
    bool const is_up =
        other && !other->is_paused() && simulation_.can_reach(*this, *other);
    if (!is_up)
        return simulation_.queue.after(
            failure_time, guarded([peer](process& it) {
                it.on(watch_failed_event{.peer = peer});
            }));
    std::vector<std::pair<std::string, revision>> held;
    for (auto const& it : other->view().index())
        held.emplace_back(it.name, it.held);
    simulation_.queue.after(
        stream_setup_time + 2 * simulation_.delay(*this, *other),
        guarded([peer, held](process& it) {
            std::vector<digest_entry> changes;
            changes.reserve(held.size());
            for (auto const& [name, revision] : held)
                changes.push_back({name, revision});
            it.on(watch_event{.changes = changes, .peer = peer});
        }));
}

void process::send_digest(endpoint peer, peer_digest const& digest) {
    simulation_.observe_stamp(*this, digest.origin);
    simulation_.send_datagram(*this, peer, encoder_.encode(digest));
}

} // namespace radishspread::fakes
