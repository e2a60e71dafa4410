#include <radishspread/core/internal/rs_suspicion_table.hpp>

#include <algorithm>
#include <array>

namespace radishspread::internal {

namespace {

/// Failure domains are numbered 1 to 64; any other number shares entry 0.
constexpr std::size_t domain_slots = 65;

std::size_t slot_of(domain_id id) {
    return id < domain_slots ? id : 0;
}

} // namespace

suspicion_table::suspicion_table(duration window, duration time)
    : window_(window), time_(time) {}

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

void suspicion_table::heard(endpoint agent) {
    auto const found = index_.find(agent);
    if (found == index_.end())
        return;
    auto& it = agents_[found->second];
    it.strikes = 0;
    if (!it.is_suspect)
        return;
    it.is_suspect = false;
    --suspects_;
    update_flags();
}

bool suspicion_table::missed(endpoint agent, instant now) {
    auto const found = index_.find(agent);
    if (found == index_.end())
        return false;
    auto& it = agents_[found->second];
    bool const is_recent = it.strikes != 0 && now - it.last_strike <= window_;
    it.strikes = is_recent ? it.strikes + 1 : 1;
    it.last_strike = now;
    if (it.strikes < strikes_to_suspect)
        return false;
    it.suspect_until = now + time_;
    if (it.is_suspect)
        return false;
    it.is_suspect = true;
    ++suspects_;
    update_flags();
    return true;
}

void suspicion_table::expire(instant now) {
    if (suspects_ == 0)
        return;
    auto const before = suspects_;
    for (auto& it : agents_) {
        if (!it.is_suspect || now < it.suspect_until)
            continue;
        it.is_suspect = false;
        it.strikes = 0;
        --suspects_;
    }
    if (suspects_ != before)
        update_flags();
}

void suspicion_table::update_flags() {
    std::array<std::size_t, domain_slots> known{};
    std::array<std::size_t, domain_slots> suspect{};
    for (auto const& it : agents_) {
        ++known[slot_of(it.domain)];
        suspect[slot_of(it.domain)] += it.is_suspect ? 1 : 0;
    }
    for (std::size_t i = 0; i != agents_.size(); ++i) {
        auto const slot = slot_of(agents_[i].domain);
        bool const is_ignored = 2 * suspect[slot] > known[slot];
        flags_[i] = agents_[i].is_suspect && !is_ignored ? 1 : 0;
    }
}

} // namespace radishspread::internal
