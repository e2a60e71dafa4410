#ifndef RADISHSPREAD_CORE_INTERNAL_RS_READ_SCHEDULE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_READ_SCHEDULE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace radishspread::internal {

/// Pending read of a section of which a newer revision than the one in effect
/// is known to exist.
struct pending_read {
    revision target = 0;        ///< Newest revision known to exist.
    endpoint peer;              ///< Peer that holds `peer_revision`, if set.
    revision peer_revision = 0; ///< Newest revision that a peer reported.
    instant due;
    unsigned failures = 0;
    bool is_reading = false;
    instant deadline; ///< Timeout of the outstanding read.

    /// Attempts alternate between the peer and the configuration service, so
    /// that a stale service or an unreachable peer does not block the section.
    [[nodiscard]] bool reads_from_peer() const {
        return peer.is_set() && peer_revision >= target && failures % 2 == 0;
    }
};

/// Pending reads of sections, and the revisions that were read and refused.
class read_schedule {
public:
    using map_type = std::map<std::string, pending_read, std::less<>>;

    explicit read_schedule(std::size_t max_sections);

    /// Schedules a read of `name` unless revision `seen` was refused. False if
    /// the schedule is full.
    bool schedule(
        std::string_view name, revision seen, endpoint peer, instant due);

    /// Ends the outstanding read of `name`; true if `held`, the revision in
    /// effect, is still older than the newest known one.
    bool finish_read(std::string_view name, revision held);

    /// Counts a failure and sets the time of the next attempt.
    void postpone(std::string_view name, instant due);

    /// Sets the time of the next attempt without counting a failure.
    void reschedule(std::string_view name, instant due);

    /// Records that revision `refused` is not acceptable, so that it is not
    /// read again.
    void refuse(std::string_view name, revision refused);

    /// Schedules reads of the refused sections of services, because sections on
    /// which their validity depends have changed.
    void retry_refused_services(instant due);

    /// Abandons outstanding reads and makes all pending reads due now.
    void restart(instant now);

    /// Number of failed attempts of the pending read of `name`; 0 if none is
    /// pending.
    [[nodiscard]] unsigned failures(std::string_view name) const;
    /// True if no read of `name` is pending.
    [[nodiscard]] bool is_settled(std::string_view name) const;
    /// True if every pending read has failed at least once, or none is pending.
    [[nodiscard]] bool all_attempted() const;
    /// Number of reads in progress.
    [[nodiscard]] std::size_t outstanding() const;
    [[nodiscard]] map_type& pending() { return pending_; }

private:
    std::size_t max_sections_;
    map_type pending_;
    std::map<std::string, revision, std::less<>> refused_;
};

} // namespace radishspread::internal

#endif
