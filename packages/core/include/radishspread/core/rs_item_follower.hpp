#ifndef RADISHSPREAD_CORE_RS_ITEM_FOLLOWER_HPP
#define RADISHSPREAD_CORE_RS_ITEM_FOLLOWER_HPP

#include <radishspread/core/internal/rs_call_pace.hpp>
#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_fleet_view.hpp>
#include <radishspread/core/rs_item_page.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishspread {

/// A call to the configuration service or to a peer.
struct item_call {
    bool is_watch = false;
    std::string prefix;
    std::string after_name; ///< Read: items after this name.
    revision after = 0;     ///< Watch: changes after this revision.
    duration wait{0};       ///< Watch: maximum time to wait for a change.
    duration timeout{0};    ///< Timeout of the call.
    endpoint peer;          ///< Process to call; unset: the service.
};

/// Settings of an `item_follower`.
struct item_follower_options {
    std::string prefix; ///< Prefix of the names of the followed items.
    /// Reads only when `reread` requests it, and never watches.
    bool is_on_demand = false;
    duration wait = std::chrono::milliseconds(2500);
    duration read_timeout = std::chrono::milliseconds(1500);
    duration peer_timeout = std::chrono::milliseconds(1500);
    /// A watch without a reply has failed this long after `wait`.
    duration watch_grace = std::chrono::milliseconds(1000);
    /// Consecutive changes are collected for this long, because each watch that
    /// ends costs a call.
    duration collect_interval = std::chrono::milliseconds(100);
    duration backoff_minimum = std::chrono::milliseconds(100);
    duration backoff_maximum = std::chrono::milliseconds(800);
    /// Until a first complete read has ended, limits the backoff to the time
    /// for which calls have failed, divided by this; 0: no such limit.
    int first_read_backoff_divisor = 0;
    std::vector<endpoint> peers; ///< Processes with the same items.
    std::uint64_t seed = 1;
};

/// Keeps a view of items up to date: one complete read, then consecutive
/// watches; starts over with a complete read if the service no longer has the
/// history since the last watch. One that is on demand confirms the view beside
/// another follower, whose watch goes on meanwhile. Decides which call is next;
/// the driver makes the call.
class item_follower {
public:
    explicit item_follower(item_follower_options options);

    /// The next call, if one is due. It is outstanding until one of the
    /// `handle` functions is called or another function drops it.
    std::optional<item_call> take_call(instant now);

    /// Handles the reply to the outstanding call; true if the view is complete.
    bool handle_page(instant now, item_page const& page, fleet_view& view);
    /// The service no longer has the history since the watch's revision.
    void handle_history_lost(instant now);
    /// The outstanding call failed; `is_outage` is false if it was only
    /// rejected by rate limiting.
    void handle_failure(instant now, bool is_outage, fleet_view& view);

    /// Drops a watch, or a read that has begun, in another era than that of the
    /// view, and reads everything again. True if the driver should cancel its
    /// call.
    bool follow_era(instant now, fleet_view const& view);

    /// Reads after a change of the era begin within this time, so that not all
    /// processes call the service at once.
    void set_era_read_spread(duration value) { era_read_spread_ = value; }

    /// Drops the outstanding call and reads everything again, at most once per
    /// `restart_interval`. True if the driver should cancel its call.
    bool restart(instant now);

    /// Schedules a complete read that begins after this call. An outstanding
    /// read is completed first; if each call dropped it, a slow read would
    /// never complete. True if the driver should cancel its call.
    bool reread(instant now);

    /// The process at `peer` has a newer view: reads from it next, unless a
    /// read from a peer is outstanding, or the service has not replied since
    /// one failed. True if the driver should cancel its call.
    bool catch_up(instant now, endpoint peer);

    /// Takes effect with the next reply.
    void set_collect_interval(duration value) {
        options_.collect_interval = value;
    }

    [[nodiscard]] instant due() const { return due_; }
    [[nodiscard]] bool is_outstanding() const { return is_outstanding_; }
    [[nodiscard]] unsigned failures() const { return failures_; }
    /// Reads given up because their pages did not go on or had no end.
    [[nodiscard]] std::uint64_t given_up_reads() const {
        return given_up_reads_;
    }
    /// Start of the last complete read from the configuration service; default
    /// if none has ended.
    [[nodiscard]] instant read_started() const {
        return complete_read_started_at_;
    }
    /// Revision up to which the view is complete.
    [[nodiscard]] revision as_of() const { return after_; }
    /// Era of the service's last reply that was used.
    [[nodiscard]] std::uint64_t era() const { return era_; }
    /// Time of the last reply from the configuration service.
    [[nodiscard]] instant last_reply_at() const { return last_reply_at_; }
    /// True if a complete read has ended since the start or last restart.
    [[nodiscard]] bool is_complete() const { return is_complete_; }

    static constexpr duration restart_interval = std::chrono::milliseconds(100);
    /// Limit of the pages of a read.
    static constexpr std::size_t max_pages = 1024;
    /// A watch that only confirms what a peer returned waits for no change.
    static constexpr duration confirmation_wait = std::chrono::milliseconds(1);

private:
    bool handle_read(instant now, item_page const& page, fleet_view& view);
    bool handle_peer(instant now, item_page const& page, fleet_view& view);
    void handle_watch(instant now, item_page const& page, fleet_view& view);
    /// True if the reply cannot be used because of its era.
    bool is_of_other_era(instant now, item_page const& page, fleet_view& view);
    void read_in_new_era(instant now);
    /// True if no complete read has ended and calls have not failed for long.
    [[nodiscard]] bool is_first_read_urgent(instant now) const;
    /// Delay of the next call after a failed one.
    [[nodiscard]] duration retry_delay(instant now, bool is_outage);
    /// Drops a read whose pages do not go on or have no end; returns false.
    bool give_up_read(instant now);
    void begin_read(instant now);

    item_follower_options options_;
    internal::jitter random_;
    internal::call_pace pace_;
    instant call_started_at_; ///< Of the last call.
    std::size_t pages_ = 0;   ///< Of the read so far.
    std::uint64_t given_up_reads_ = 0;
    bool is_watching_ = false; ///< The next or outstanding call is a watch.
    bool is_outstanding_ = false;
    bool confirms_peer_ = false; ///< The service has not replied since a peer.
    bool is_complete_ = false;
    bool is_read_requested_ = false; ///< After the outstanding one.
    instant due_;
    instant read_started_;
    instant complete_read_started_at_;
    instant last_reply_at_;
    instant last_restart_at_;
    unsigned failures_ = 0;
    instant failing_since_; ///< First of the `failures_`.
    endpoint peer_;         ///< Of the last call; unset: the service.
    endpoint newer_peer_;   ///< To be read from next.
    /// A peer has not replied; the call to the service that follows is not
    /// dropped for another one.
    bool service_is_next_ = false;
    std::string after_name_;
    std::uint64_t era_ = 0; ///< Of the last page used.
    duration era_read_spread_{0};
    revision read_from_ = 0; ///< Revision of the first page of the read.
    revision after_ = 0;
    std::set<std::string, std::less<>> names_; ///< Items of the read so far.
};

} // namespace radishspread

#endif
