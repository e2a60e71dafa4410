#ifndef RADISHSPREAD_RUNTIME_RS_ITEM_SOURCE_HPP
#define RADISHSPREAD_RUNTIME_RS_ITEM_SOURCE_HPP

#include <radishspread/core/rs_item_follower.hpp>
#include <radishspread/core/rs_packet_events.hpp>
#include <radishspread/core/rs_packet_log.hpp>
#include <radishspread/runtime/rs_call_counters.hpp>
#include <radishspread/runtime/rs_configuration_client.hpp>
#include <radishspread/runtime/rs_packet_platform.hpp>
#include <radishspread/wire/rs_item_codec.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace radishspread::runtime {

/// Called after each page has been merged into the view; `is_complete_read` is
/// true if the page ended a complete read or came from a peer.
using page_callback =
    std::function<void(item_page const&, bool is_complete_read)>;

/// Makes the calls that one `item_follower` requests and merges the replies
/// into a view.
template <packet_platform Platform> class item_source {
public:
    /// Calls go to `service` or, for `peer_path`, to a peer.
    item_source(item_follower_options options, std::string peer_path,
        fleet_view& view, configuration_client& client, endpoint service,
        page_callback on_page, std::function<void(packet_log const&)> log)
        : follower_(std::move(options)), peer_path_(std::move(peer_path)),
          view_(view), client_(client), service_(service),
          on_page_(std::move(on_page)), log_(std::move(log)) {}

    /// Starts the next call if it is due and the budget of the client has one
    /// left. Returns false if the call waits for the budget.
    bool start_due_call(instant now) {
        bool const is_due = !is_outstanding() && now >= due();
        if (is_due && !client_.budget().has_left(now))
            return false;
        auto const call = follower_.take_call(now);
        if (!call)
            return true;
        client_.budget().take(now);
        is_peer_call_ = call->peer.is_set();
        is_watch_call_ = call->is_watch;
        if (counters != nullptr)
            counters->count_start(kind());
        call_ = client_.get(is_peer_call_ ? call->peer : service_,
            is_peer_call_ ? peer_path_ : Platform::path_of(*call),
            now + call->timeout,
            [this](section_response const& it) { handle_reply(it); });
        return true;
    }

    /// Cancels the outstanding call and reads all items again.
    void restart(instant now) {
        if (follower_.restart(now))
            client_.cancel(call_);
    }

    /// Reads all items again once an outstanding read has ended.
    void reread(instant now) {
        if (follower_.reread(now))
            client_.cancel(call_);
    }

    /// Reads from the process at `peer`, which has a newer view.
    void catch_up(instant now, endpoint peer) {
        if (follower_.catch_up(now, peer))
            client_.cancel(call_);
    }

    /// Reads all items again if they are of another era than the view's.
    void follow_era(instant now) {
        if (follower_.follow_era(now, view_))
            client_.cancel(call_);
    }

    /// See `item_follower::set_era_read_spread`.
    void set_era_read_spread(duration value) {
        follower_.set_era_read_spread(value);
    }

    /// Collects changes for this long, starting with the next reply.
    void set_collect_interval(duration value) {
        follower_.set_collect_interval(value);
    }

    [[nodiscard]] item_follower const& follower() const { return follower_; }
    [[nodiscard]] bool is_complete() const { return follower_.is_complete(); }
    [[nodiscard]] bool is_outstanding() const {
        return follower_.is_outstanding();
    }
    [[nodiscard]] instant due() const { return follower_.due(); }

    /// Returns the current time; to be set before the first call.
    std::function<instant()> clock;

    /// Counters of the calls; null: they are not counted.
    call_counters* counters = nullptr;

private:
    /// Kind of the call that was started last.
    [[nodiscard]] call_kind kind() const {
        if (is_peer_call_)
            return call_kind::peer;
        return is_watch_call_ ? call_kind::watch : call_kind::read;
    }

    [[nodiscard]] static call_result result_of(
        section_response const& reply, bool is_readable) {
        constexpr std::uint16_t too_many_requests = 429;
        constexpr std::uint16_t unavailable = 503;
        if (is_readable)
            return call_result::ok;
        if (reply.code == std::errc::timed_out)
            return call_result::timed_out;
        bool const is_refused =
            reply.status == too_many_requests || reply.status == unavailable;
        return is_refused ? call_result::refused : call_result::failed;
    }

    void handle_reply(section_response const& reply) {
        constexpr std::uint16_t gone = 410;
        constexpr std::uint16_t too_many_requests = 429;
        auto const now = clock();
        auto body = reply.body;
        auto page = reply.is_ok() ? parse(body) : std::nullopt;
        if (page && !is_peer_call_)
            set_era(*page, reply.era);
        if (counters != nullptr)
            counters->count_end(kind(), result_of(reply, page.has_value()));
        if (page)
            return merge_page(now, *page);
        if (reply.status == gone) {
            log_({.number = packet_event::history_lost});
            return follower_.handle_history_lost(now);
        }
        // The same watch would fail again; a read returns less, since it has
        // only the last revision of each item.
        if (is_watch_call_ && reply.code == std::errc::message_size) {
            log_({.number = packet_event::reply_too_large});
            return follower_.handle_history_lost(now);
        }
        follower_.handle_failure(now, reply.status != too_many_requests, view_);
        log_({.number = follower_.failures() == 1
                            ? packet_event::source_unreachable
                            : packet_event::read_failed,
            .value = reply.status,
            .text = is_peer_call_ ? "peer" : "configuration service"});
    }

    [[nodiscard]] std::optional<item_page> parse(std::string& body) const {
        return is_peer_call_ ? wire::decode_items(body)
                             : Platform::parse_page(body);
    }

    static void set_era(item_page& page, std::uint64_t era) {
        page.era = era;
        for (auto& it : page.changes)
            it.era = era;
    }

    /// Logs what the last page has changed besides its items.
    void log_view_changes(instant era_changed_at, std::uint64_t ignored_items,
        std::uint64_t deferred_changes) const {
        if (view_.era().changed_at() != era_changed_at)
            log_({.number = packet_event::source_restored,
                .value = static_cast<std::int64_t>(view_.era().value())});
        if (view_.ignored_items() != ignored_items)
            log_({.number = packet_event::item_ignored,
                .value = static_cast<std::int64_t>(
                    view_.ignored_items() - ignored_items),
                .text = "view full"});
        if (view_.deferred_changes() != deferred_changes)
            log_({.number = packet_event::item_deferred,
                .value = static_cast<std::int64_t>(
                    view_.deferred_changes() - deferred_changes)});
    }

    void merge_page(instant now, item_page const& page) {
        if (follower_.failures() > 0 && !is_peer_call_)
            log_({.number = packet_event::source_recovered,
                .value = (now - follower_.last_reply_at()) /
                         std::chrono::milliseconds(1)});
        log_ignored_items(page);
        auto const previous_read_at = follower_.read_started();
        auto const given_up_reads = follower_.given_up_reads();
        auto const era_changed_at = view_.era().changed_at();
        auto const ignored_items = view_.ignored_items();
        auto const deferred_changes = view_.deferred_changes();
        follower_.handle_page(now, page, view_);
        log_view_changes(era_changed_at, ignored_items, deferred_changes);
        if (follower_.given_up_reads() != given_up_reads)
            log_({.number = packet_event::read_given_up,
                .value = static_cast<std::int64_t>(page.changes.size())});
        on_page_(page,
            follower_.read_started() != previous_read_at || is_peer_call_);
    }

    /// Logs each revision of an unreadable item once: later reads return it
    /// again, but the view has it then.
    void log_ignored_items(item_page const& page) const {
        for (auto const& it : page.changes)
            if (it.is_unreadable && view_.is_newer(it))
                log_({.number = packet_event::item_ignored,
                    .value = 1,
                    .text = it.name});
        if (page.unnamed > 0)
            log_({.number = packet_event::item_ignored,
                .value = static_cast<std::int64_t>(page.unnamed)});
    }

    item_follower follower_;
    std::string peer_path_;
    bool is_peer_call_ = false; ///< The outstanding call goes to a peer.
    bool is_watch_call_ = false;
    fleet_view& view_;
    configuration_client& client_;
    endpoint service_;
    page_callback on_page_;
    std::function<void(packet_log const&)> log_;
    std::weak_ptr<configuration_call> call_; ///< Started last.
};

} // namespace radishspread::runtime

#endif
