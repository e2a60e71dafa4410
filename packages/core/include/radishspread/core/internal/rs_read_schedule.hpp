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

/// A section of which a newer revision than the one in effect exists.
struct pending_read {
    revision target = 0;
    endpoint peer;              ///< Peer that has `peer_revision`, if set.
    revision peer_revision = 0; ///< Newest revision that a peer named.
    instant due;
    unsigned failures = 0;
    bool is_reading = false;
    instant deadline; ///< Time at which the outstanding read has failed.

    /// Alternates between the peer and the configuration service, so that a
    /// stale service or a lost peer does not block the section.
    [[nodiscard]] bool reads_from_peer() const {
        return peer.is_set() && peer_revision >= target && failures % 2 == 0;
    }
};

/// Sections still to be read, and revisions that were read and refused.
class read_schedule {
public:
    using map_type = std::map<std::string, pending_read, std::less<>>;

    explicit read_schedule(std::size_t max_sections);

    /// Schedules a read of `name` unless revision `seen` was refused. False if
    /// the schedule is full.
    bool schedule(
        std::string_view name, revision seen, endpoint peer, instant due);

    /// Ends the outstanding read of `name`; true if revision `held`, now in
    /// effect, is still behind.
    bool finish_read(std::string_view name, revision held);

    /// Postpones the next attempt after a failure.
    void postpone(std::string_view name, instant due);

    /// Moves the next attempt without counting a failure.
    void reschedule(std::string_view name, instant due);

    /// Records that revision `refused` has faults, so that it is not read
    /// again.
    void refuse(std::string_view name, revision refused);

    /// Reads refused sections of services again: what they refer to changed.
    void retry_refused_services(instant due);

    /// Forgets outstanding reads and makes everything due now.
    void restart(instant now);

    /// Number of failures of `name` so far; 0 if it is not wanted.
    [[nodiscard]] unsigned failures(std::string_view name) const;
    /// True if `name` is not wanted.
    [[nodiscard]] bool is_settled(std::string_view name) const;
    /// True if every wanted section has been tried without success.
    [[nodiscard]] bool all_attempted() const;
    [[nodiscard]] std::size_t outstanding() const;
    [[nodiscard]] map_type& pending() { return pending_; }

private:
    std::size_t max_sections_;
    map_type pending_;
    std::map<std::string, revision, std::less<>> refused_;
};

} // namespace radishspread::internal

#endif
