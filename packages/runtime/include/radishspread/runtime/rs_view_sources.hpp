#ifndef RADISHSPREAD_RUNTIME_RS_VIEW_SOURCES_HPP
#define RADISHSPREAD_RUNTIME_RS_VIEW_SOURCES_HPP

#include <radishspread/runtime/rs_item_source.hpp>
#include <radishspread/runtime/rs_packet_shell.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishspread::runtime {

/// Keeps a view of all items that a role needs up to date, with one
/// `item_source` for each prefix of item names, and one that reads the backend
/// servers again on demand.
template <packet_platform Platform> class view_sources {
public:
    /// Changes of backend servers, which have the last prefix, are collected
    /// for `member_collect_interval`, because they are the most frequent ones.
    view_sources(packet_shell& shell, fleet_view& view,
        std::vector<std::string> prefixes, item_follower_options options,
        duration member_collect_interval, page_callback const& on_page)
        : shell_(shell), view_(view), prefixes_(std::move(prefixes)),
          client_({.service = shell.settings().configuration_service,
              .max_reply_size = max_reply_size(shell.settings().max_item_size),
              .era_header = Platform::era_header()}),
          counters_(shell.metrics()) {
        auto const& settings = shell.settings();
        for (auto const& it : settings.peers)
            if (it.address != settings.packet_address.address)
                options.peers.push_back(peer_endpoint(it));
        for (std::size_t n = 0; n < prefixes_.size(); ++n) {
            options.prefix = prefixes_[n];
            if (n + 1 == prefixes_.size())
                options.collect_interval = member_collect_interval;
            sources_.push_back(make_source(options, n, on_page));
        }
        options.is_on_demand = true;
        options.first_read_backoff_divisor = 0; // The process has a view then.
        members_reader_ = make_source(options, prefixes_.size() - 1, on_page);
    }

    /// Serves the items in the view to peers over HTTP.
    void serve() {
        for (std::size_t n = 0; n < sources_.size(); ++n)
            shell_.server().add(
                peer_path(n), [this, n] { return encode_reply(n); });
    }

    /// Starts calls that are due and cancels those that have timed out.
    void tick(instant now) {
        client_.tick(now);
        client_.budget().set_limit(calls_per_second());
        follow_era(now);
        start_due_calls(now);
    }

    /// Starts calls that are due.
    void start_due_calls(instant now) {
        // The source that has to wait is first the next time, so that one that
        // calls without a pause does not use up the budget of the others.
        auto const count = sources_.size() + 1;
        auto const first = first_;
        for (std::size_t n = 0; n < count; ++n) {
            auto const at = (first + n) % count;
            if (source_at(at).start_due_call(now))
                continue;
            first_ = at;
            return;
        }
    }

    void restart(instant now) {
        for (auto const& it : sources_)
            it->restart(now);
    }

    /// Reads from the process on the host of `newer_peer`, which has a newer
    /// view.
    void catch_up(instant now, endpoint newer_peer) {
        for (auto const& it : sources_)
            it->catch_up(now, peer_endpoint(newer_peer));
    }

    /// Start of the last complete read of the backend servers.
    [[nodiscard]] instant members_read_at() const {
        return std::max(sources_.back()->follower().read_started(),
            members_reader_->follower().read_started());
    }

    /// Reads the backend servers again. Their watch goes on meanwhile; ending
    /// it would cost another call.
    void reread_members(instant now) { members_reader_->reread(now); }

    /// Collects changes of backend servers for this long.
    void set_member_collect_interval(duration value) {
        sources_.back()->set_collect_interval(value);
    }

    [[nodiscard]] bool is_complete() const {
        return std::all_of(sources_.begin(), sources_.end(),
            [](auto const& it) { return it->is_complete(); });
    }

    /// Time of the next call; `instant::max()` if all are outstanding or none
    /// is wanted.
    [[nodiscard]] instant due() const {
        auto due = instant::max();
        for (auto const& it : sources_)
            if (!it->is_outstanding())
                due = std::min(due, it->due());
        if (!members_reader_->is_outstanding())
            due = std::min(due, members_reader_->due());
        return std::max(due, client_.budget().next_at());
    }

private:
    using source = item_source<Platform>;

    /// Lets the sources read again what they have of another era.
    void follow_era(instant now) {
        if (std::exchange(era_, view_.era().value()) == view_.era().value())
            return;
        for (auto const& it : sources_) {
            it->set_era_read_spread(era_read_spread());
            it->follow_era(now);
        }
        members_reader_->follow_era(now);
    }

    /// Time in which all processes can read all items within the rate of the
    /// service, which other calls share.
    [[nodiscard]] duration era_read_spread() const {
        constexpr double reserve = 2;
        auto const reads = static_cast<double>(processes() * sources_.size());
        auto const& settings = shell_.settings();
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(
                reserve * reads / std::max(settings.reads_per_second, 1.0)));
    }

    /// Processes known to share the service.
    [[nodiscard]] std::size_t processes() const {
        return view_.members().size() + shell_.settings().peers.size() + 1;
    }

    [[nodiscard]] std::unique_ptr<source> make_source(
        item_follower_options& options, std::size_t n,
        page_callback const& on_page) {
        ++options.seed;
        auto out = std::make_unique<source>(options, peer_path(n), view_,
            client_, shell_.settings().configuration_service, on_page,
            [this](packet_log const& it) { shell_.log(it); });
        out->clock = [this] {
            return shell_.update_clock();
        };
        out->counters = &counters_;
        return out;
    }

    [[nodiscard]] source& source_at(std::size_t n) {
        return n < sources_.size() ? *sources_[n] : *members_reader_;
    }

    /// Limit of the calls of this process, which shares the service with the
    /// processes at the members' hosts, the peers and those not known yet.
    [[nodiscard]] double calls_per_second() const {
        return call_budget::share(
            shell_.settings().reads_per_second, processes());
    }

    /// Limit of a reply in bytes. A page has about a mebibyte of items and may
    /// end with the largest one. Values take a third more in base64; the rest
    /// is for names and numbers.
    static constexpr std::size_t max_reply_size(std::size_t max_item_size) {
        constexpr std::size_t page_size = 1U << 20U;
        return 2 * (page_size + max_item_size);
    }

    static std::string peer_path(std::size_t n) {
        return "/v1/items/" + std::to_string(n);
    }

    [[nodiscard]] endpoint peer_endpoint(endpoint host) const {
        return {.address = host.address, .port = shell_.settings().peer_port};
    }

    [[nodiscard]] http_response encode_reply(std::size_t n) const {
        constexpr unsigned unavailable = 503;
        auto const& follower = sources_[n]->follower();
        // Only what the configuration service has confirmed is passed on.
        if (!follower.is_complete() || follower.as_of() == 0 ||
            follower.era() != view_.era().value() ||
            view_.has_provisional_items())
            return {.status = unavailable};
        item_page const page{.changes = view_.items(shell_.now(), prefixes_[n]),
            .as_of = follower.as_of(),
            .era = follower.era()};
        return {.content_type = "application/json",
            .body = wire::encode_items(page)};
    }

    packet_shell& shell_;
    fleet_view& view_;
    std::vector<std::string> prefixes_;
    configuration_client client_;
    call_counters counters_;
    std::vector<std::unique_ptr<source>> sources_;
    std::unique_ptr<source> members_reader_;
    std::size_t first_ = 0; ///< Index of the source that calls first.
    std::uint64_t era_ = 0; ///< Followed by the sources.
};

} // namespace radishspread::runtime

#endif
