#include <radishspread/core/internal/rs_suspicion_table.hpp>

#include <algorithm>
#include <array>

namespace radishspread::internal {

namespace {

/// Failure domains are numbered 1 to 64; all other numbers share entry 0.
constexpr std::size_t domain_entries = 65;

std::size_t entry_of(domain_id id) {
    return id < domain_entries ? id : 0;
}

} // namespace

suspicion_table::suspicion_table(duration miss_window, duration suspect_time)
    : miss_window_(miss_window), suspect_time_(suspect_time) {}

void suspicion_table::mark_unused() {
    for (auto& it : agents_)
        it.is_used = false;
}

std::uint32_t suspicion_table::add(endpoint agent, domain_id domain) {
    auto const [it, is_new] =
        index_.try_emplace(agent, static_cast<std::uint32_t>(agents_.size()));
    if (is_new) {
        agents_.push_back({.agent = agent, .domain = domain});
        flags_.push_back(0);
    }
    auto& state = agents_[it->second];
    state.is_used = true;
    state.domain = domain;
    return it->second;
}

void suspicion_table::drop_unused() {
    std::erase_if(agents_, [](agent_state const& it) { return !it.is_used; });
    index_.clear();
    suspects_ = 0;
    for (std::uint32_t i = 0; i != agents_.size(); ++i) {
        index_.emplace(agents_[i].agent, i);
        suspects_ += agents_[i].is_suspect ? 1 : 0;
    }
    flags_.assign(agents_.size(), 0);
    update_flags();
}

void suspicion_table::reply_received(endpoint agent) {
    auto const found = index_.find(agent);
    if (found == index_.end())
        return;
    auto& state = agents_[found->second];
    state.misses = 0;
    if (!state.is_suspect)
        return;
    state.is_suspect = false;
    --suspects_;
    update_flags();
}

bool suspicion_table::reply_missed(endpoint agent, instant now) {
    auto const found = index_.find(agent);
    if (found == index_.end())
        return false;
    auto& state = agents_[found->second];
    bool const is_recent =
        state.misses != 0 && now - state.last_miss_at <= miss_window_;
    state.misses = is_recent ? state.misses + 1 : 1;
    state.last_miss_at = now;
    if (state.misses < misses_to_suspect)
        return false;
    state.suspect_until = now + suspect_time_;
    if (state.is_suspect)
        return false;
    state.is_suspect = true;
    ++suspects_;
    update_flags();
    return true;
}

void suspicion_table::expire(instant now) {
    if (suspects_ == 0)
        return;
    auto const previous = suspects_;
    for (auto& it : agents_) {
        if (!it.is_suspect || now < it.suspect_until)
            continue;
        it.is_suspect = false;
        it.misses = 0;
        --suspects_;
    }
    if (suspects_ != previous)
        update_flags();
}

void suspicion_table::update_flags() {
    std::array<std::size_t, domain_entries> known{};
    std::array<std::size_t, domain_entries> suspect{};
    for (auto const& it : agents_) {
        ++known[entry_of(it.domain)];
        suspect[entry_of(it.domain)] += it.is_suspect ? 1 : 0;
    }
    for (std::size_t i = 0; i != agents_.size(); ++i) {
        auto const entry = entry_of(agents_[i].domain);
        bool const is_ignored = 2 * suspect[entry] > known[entry];
        flags_[i] = agents_[i].is_suspect && !is_ignored ? 1 : 0;
    }
}

} // namespace radishspread::internal
