#ifndef RADISHSPREAD_CORE_RS_ITEM_FOLLOWER_HPP
#define RADISHSPREAD_CORE_RS_ITEM_FOLLOWER_HPP

#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_fleet_view.hpp>
#include <radishspread/core/rs_item_page.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishspread {

/// A call at the configuration service.
struct item_call {
    bool is_watch = false;
    std::string prefix;
    std::string after_name; ///< A read: begins after this name.
    revision after = 0;     ///< A watch: changes after this revision.
    duration wait{0};       ///< A watch: longest time to wait for a change.
    duration limit{0};      ///< Time after which the call has failed.
    endpoint peer;          ///< Process to ask; unset: the service.
};

/// Settings of a follower.
struct item_follower_options {
    std::string prefix; ///< Names of the items followed begin with it.
    duration wait = std::chrono::milliseconds(2500);
    duration read_timeout = std::chrono::milliseconds(1500);
    duration peer_timeout = std::chrono::milliseconds(1500);
    /// Beyond `wait`, after which a watch without an answer has failed.
    duration watch_grace = std::chrono::milliseconds(1000);
    /// Changes that follow each other are collected for this long: each watch
    /// that ends costs a call.
    duration collect_interval = std::chrono::milliseconds(100);
    duration backoff_minimum = std::chrono::milliseconds(100);
    duration backoff_maximum = std::chrono::milliseconds(800);
    std::vector<endpoint> peers; ///< Processes that hold the same items.
    std::uint64_t seed = 1;
};

/// Keeps a view of items up to date: a complete read, then one watch after
/// another, from the beginning again when the history is gone. Decides which
/// call comes next; the driver makes it.
class item_follower {
public:
    explicit item_follower(item_follower_options options);

    /// The next call, if one is due. It is outstanding until one of the
    /// `handle` functions or `restart` is called.
    std::optional<item_call> take_call(instant now);

    /// The outstanding call has an answer. True if the view is complete now.
    bool handle_page(instant now, item_page const& page, fleet_view& view);
    /// The history after the watch's revision is gone.
    void handle_history_lost(instant now);
    /// The outstanding call failed; `is_outage` unless it was merely refused
    /// for its rate.
    void handle_failure(instant now, bool is_outage, fleet_view& view);

    /// Gives up the outstanding call and reads everything again, at most once
    /// per `restart_interval`. True if the driver should drop its call.
    bool restart(instant now);

    /// Reads everything again, in a read that begins after `now`. A read that
    /// is outstanding ends first: dropped each time, a slow one would never
    /// end. True if the driver should drop its call.
    bool reread(instant now);

    /// The process at `peer` is ahead: asks it next, unless a peer is being
    /// asked already. True if the driver should drop its call.
    bool catch_up(instant now, endpoint peer);

    /// Collects changes for this long from the next answer on.
    void set_collect_interval(duration value) {
        options_.collect_interval = value;
    }

    [[nodiscard]] instant due() const { return due_; }
    [[nodiscard]] bool is_outstanding() const { return is_outstanding_; }
    [[nodiscard]] unsigned failures() const { return failures_; }
    /// Begin of the last complete read of the configuration service; default if
    /// none has ended.
    [[nodiscard]] instant read_started() const {
        return complete_read_started_at_;
    }
    /// Revision up to which the view is complete.
    [[nodiscard]] revision as_of() const { return after_; }
    /// Time of the last answer.
    [[nodiscard]] instant answered_at() const { return answered_at_; }
    /// True if a complete read has ended since start or restart.
    [[nodiscard]] bool is_complete() const { return is_complete_; }

    static constexpr duration restart_interval = std::chrono::milliseconds(100);

private:
    bool handle_read(instant now, item_page const& page, fleet_view& view);
    bool handle_peer(instant now, item_page const& page, fleet_view& view);
    void begin_read(instant now);

    item_follower_options options_;
    internal::jitter random_;
    bool is_watching_ = false; ///< The next or outstanding call is a watch.
    bool is_outstanding_ = false;
    bool is_complete_ = false;
    bool is_read_requested_ =
        false; ///< Another read after the outstanding one.
    instant due_;
    instant read_started_;
    instant complete_read_started_at_;
    instant answered_at_;
    instant restarted_at_;
    unsigned failures_ = 0;
    endpoint peer_;       ///< Of the outstanding call; unset: the service.
    endpoint newer_peer_; ///< To be asked next.
    std::string after_name_;
    revision read_from_ = 0; ///< Revision of the first page of the read.
    revision after_ = 0;
    std::set<std::string, std::less<>> names_; ///< Items of the read so far.
};

} // namespace radishspread

#endif
