#include <fakes/rs_fake_configuration.hpp>

#include <algorithm>

namespace radishspread::fakes {

using namespace std::chrono_literals;

namespace {
constexpr duration response_time = 2ms;
constexpr duration failure_time = 300ms;
constexpr duration watch_time = 25s;
} // namespace

revision fake_configuration::publish(
    std::string name, decltype(section::content) content) {
    auto& versions = sections_[name];
    ++index_;
    versions.push_back(
        std::make_shared<section const>(section{.name = std::move(name),
            .held = index_,
            .content = std::move(content)}));
    answer_watches();
    return index_;
}

section_ptr fake_configuration::latest(std::string_view name) const {
    auto const it = sections_.find(name);
    return it == sections_.end() ? nullptr : it->second.back();
}

section_ptr fake_configuration::visible(std::string_view name) {
    auto const it = sections_.find(name);
    if (it == sections_.end())
        return nullptr;
    auto const& versions = it->second;
    // With `lagging_replica`, every second call is answered by a replica that
    // is one revision behind.
    if (state_ == state::lagging_replica && versions.size() > 1 &&
        calls_ % 2 == 0)
        return versions[versions.size() - 2];
    auto const limit = state_ == state::stale ? frozen_index_ : index_;
    for (auto version = versions.rbegin(); version != versions.rend();
         ++version)
        if ((*version)->held <= limit)
            return *version;
    return nullptr;
}

void fake_configuration::read(std::string_view name, read_handler handler) {
    ++calls_;
    if (state_ == state::down)
        return queue_.after(
            failure_time, [handler = std::move(handler)] { handler(nullptr); });
    queue_.after(response_time, [handler = std::move(handler),
                                    value = visible(name)] { handler(value); });
}

void fake_configuration::watch(
    std::uint64_t after, duration delay, watch_handler handler) {
    ++calls_;
    if (state_ == state::down)
        return queue_.after(failure_time,
            [handler = std::move(handler)] { handler(false, 0, {}); });
    auto const number = ++next_watch_;
    watches_.push_back({after, delay, std::move(handler), number});
    queue_.after(watch_time, [this, number] { expire_watch(number); });
    answer_watches();
}

void fake_configuration::expire_watch(std::uint64_t number) {
    auto const it = std::find_if(watches_.begin(), watches_.end(),
        [&](auto const& watch) { return watch.number == number; });
    if (it == watches_.end())
        return;
    auto const watch = std::move(*it);
    watches_.erase(it);
    watch.handler(true, watch.after, {});
}

void fake_configuration::answer_watches() {
    if (state_ == state::down)
        return;
    auto const limit = state_ == state::stale ? frozen_index_ : index_;
    std::vector<pending_watch> waiting;
    for (auto& it : watches_) {
        if (it.after >= limit) {
            waiting.push_back(std::move(it));
            continue;
        }
        std::vector<digest_entry> changes;
        for (auto const& [name, versions] : sections_) {
            auto const shown = visible(name);
            if (shown && shown->held > it.after)
                changes.push_back({name, shown->held});
        }
        queue_.after(
            response_time + it.delay, [handler = std::move(it.handler), limit,
                                          changes = std::move(changes)] {
                handler(true, limit, changes);
            });
    }
    watches_ = std::move(waiting);
}

void fake_configuration::set_state(state value) {
    state_ = value;
    frozen_index_ = index_;
    if (value == state::down) {
        auto broken = std::move(watches_);
        watches_.clear();
        for (auto& it : broken)
            queue_.after(failure_time,
                [handler = std::move(it.handler)] { handler(false, 0, {}); });
    }
    answer_watches();
}

} // namespace radishspread::fakes
