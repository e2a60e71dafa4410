#ifndef RADISHSPREAD_RUNTIME_RS_VIEW_SOURCES_HPP
#define RADISHSPREAD_RUNTIME_RS_VIEW_SOURCES_HPP

#include <radishspread/runtime/rs_item_source.hpp>
#include <radishspread/runtime/rs_packet_shell.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Follows all items that a role needs, one follower for each prefix.
template <packet_platform Platform> class view_sources {
public:
    /// Changes of backend servers are collected for `member_collect_interval`;
    /// they are the most frequent ones.
    view_sources(packet_shell& shell, fleet_view& view,
        std::vector<std::string> prefixes, item_follower_options options,
        duration member_collect_interval, change_call const& changed)
        : shell_(shell), view_(view), prefixes_(std::move(prefixes)),
          client_({.service = shell.settings().configuration_service}) {
        auto const& settings = shell.settings();
        for (auto const& it : settings.peers)
            if (it.address != settings.packet_address.address)
                options.peers.push_back(peer_at(it));
        for (std::size_t n = 0; n < prefixes_.size(); ++n) {
            options.prefix = prefixes_[n];
            if (n + 1 == prefixes_.size())
                options.collect_interval = member_collect_interval;
            ++options.seed;
            sources_.push_back(std::make_unique<source>(options, peer_path(n),
                view, client_, settings.configuration_service, changed,
                [this](packet_log const& it) { shell_.log(it); }));
            sources_.back()->clock = [this] {
                return shell_.enter();
            };
        }
    }

    /// Serves the items of this process to its peers.
    void serve() {
        for (std::size_t n = 0; n < sources_.size(); ++n)
            shell_.server().add(peer_path(n), [this, n] { return answer(n); });
    }

    /// Starts calls that are due and ends those past their limit.
    void tick(instant now) {
        client_.tick(now);
        run(now);
    }

    /// Starts calls that are due.
    void run(instant now) {
        for (auto const& it : sources_)
            it->run(now);
    }

    void restart(instant now) {
        for (auto const& it : sources_)
            it->restart(now);
    }

    /// Asks the process on the host `ahead`, which has read more.
    void catch_up(instant now, endpoint ahead) {
        for (auto const& it : sources_)
            it->catch_up(now, peer_at(ahead));
    }

    /// Begin of the last complete read of the backend servers.
    [[nodiscard]] instant members_read_at() const {
        return sources_.back()->follower().read_started();
    }

    /// Reads the backend servers again.
    void reread_members(instant now) { sources_.back()->reread(now); }

    /// Collects changes of backend servers for this long.
    void set_collect_members(duration value) {
        sources_.back()->set_collect_interval(value);
    }

    [[nodiscard]] bool is_complete() const {
        return std::all_of(sources_.begin(), sources_.end(),
            [](auto const& it) { return it->is_complete(); });
    }

    /// Time of the next call; `instant::max()` if all are outstanding.
    [[nodiscard]] instant due() const {
        auto due = instant::max();
        for (auto const& it : sources_)
            if (!it->is_outstanding())
                due = std::min(due, it->due());
        return due;
    }

private:
    using source = item_source<Platform>;

    static std::string peer_path(std::size_t n) {
        return "/v1/items/" + std::to_string(n);
    }

    [[nodiscard]] endpoint peer_at(endpoint host) const {
        return {.address = host.address, .port = shell_.settings().peer_port};
    }

    [[nodiscard]] http_response answer(std::size_t n) const {
        constexpr unsigned unavailable = 503;
        auto const& follower = sources_[n]->follower();
        if (!follower.is_complete() || follower.as_of() == 0)
            return {.status = unavailable};
        item_page const page{.changes = view_.items(shell_.now(), prefixes_[n]),
            .as_of = follower.as_of()};
        return {.content_type = "application/json",
            .body = wire::encode_items(page)};
    }

    packet_shell& shell_;
    fleet_view& view_;
    std::vector<std::string> prefixes_;
    configuration_client client_;
    std::vector<std::unique_ptr<source>> sources_;
};

} // namespace radishspread::runtime

#endif
