#ifndef RADISHSPREAD_CORE_RS_FLEET_VIEW_HPP
#define RADISHSPREAD_CORE_RS_FLEET_VIEW_HPP

#include <radishspread/core/internal/rs_source_era.hpp>
#include <radishspread/core/rs_fleet_change.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishspread {

/// One process's view of the shared configuration, merged item by item: the
/// highest version of an item is in effect, whatever the order of arrival and
/// the source. After the service was restored from a backup, what it has lost
/// stays in effect for the time in which its writers write it again.
class fleet_view {
public:
    /// A backend server that is announced or was removed recently.
    struct member {
        std::uint32_t service = 0;
        std::uint32_t domain = 0;
        endpoint backend;
        std::uint16_t slots = 1;
        bool is_draining = false;
        instant cold_until;
        std::uint64_t start_unix_ms = 0;
        item_version announced_in; ///< Version of the announcement.
        bool is_removed = false;
        instant removal_effective_at; ///< May be in the future.
    };

    /// True if the view has no version of the item or an older one.
    [[nodiscard]] bool is_newer(fleet_change const& change) const;

    /// Merges one item; false if the view has the same or a newer version.
    bool apply(instant now, fleet_change const& change);

    /// Merges all items of a peer whose names begin with `prefix`. They are
    /// provisional: in effect until the source of the items confirms each with
    /// `apply` or `settle` drops it.
    void apply_peer(instant now, std::string_view prefix,
        std::span<fleet_change const> changes, item_version as_of);

    /// Restores what was in effect before those provisional items with the
    /// prefix that a reply of the source, requested at `requested_at`, has not
    /// confirmed.
    void settle(instant requested_at, std::string_view prefix);

    [[nodiscard]] bool has_provisional_items() const {
        return !replaced_.empty();
    }

    /// Ends a complete read, as of version `as_of`, of all items whose names
    /// begin with `prefix`: removes the items that are not in `names` unless
    /// their version is higher.
    void finish_read(instant now, std::string_view prefix,
        std::set<std::string, std::less<>> const& names, item_version as_of);

    /// Records the era that a reply of the service names; the call began at
    /// `call_started_at`. An outdated reply must not be merged.
    internal::era_finding observe_era(
        instant now, instant call_started_at, std::uint64_t era);

    [[nodiscard]] internal::source_era const& era() const { return era_; }

    /// True if writers may not have written again by `time` what a restored
    /// service has lost, so that its items do not show all backend servers.
    [[nodiscard]] bool is_settling(instant time) const {
        return era_.changed_at() != instant{} &&
               time < era_.changed_at() + expiry_grace_period;
    }

    /// Changes of a restored service that were not used so far because the
    /// items were newer before.
    [[nodiscard]] std::uint64_t deferred_changes() const {
        return deferred_changes_;
    }

    /// Sets whether the source of the items is reachable. While it is not, and
    /// for `expiry_grace_period` after, removed backend servers stay eligible:
    /// their announcements may have expired because they could not renew them.
    void set_reachable(instant now, bool is_reachable);

    /// True while announcements that expired in an outage are written again.
    [[nodiscard]] bool is_recovering(instant now) const {
        return reachable_since_ - unreachable_since_ >= min_outage &&
               now >= reachable_since_ &&
               now < reachable_since_ + expiry_grace_period;
    }

    /// Items in effect whose names begin with `prefix`, for a peer.
    [[nodiscard]] std::vector<fleet_change> items(
        instant now, std::string_view prefix) const;

    /// Deletes backend servers `removed_member_limit` after their removal, and
    /// revisions of removed items after `removed_revision_limit`.
    void tick(instant now);

    /// Route of the flows to `address`, or null.
    [[nodiscard]] route_entry const* route_of(endpoint address) const;
    /// Tag of the service that takes flows to `address`; 0 if none.
    [[nodiscard]] std::uint32_t service_of(endpoint address) const;
    /// Priority of the route to `address`; 0, the most urgent, without one.
    [[nodiscard]] std::uint8_t priority_of(endpoint address) const;
    /// True once a read has returned routes.
    [[nodiscard]] bool has_routes() const { return version_ != 0; }
    [[nodiscard]] std::uint64_t route_version() const { return version_; }
    [[nodiscard]] bool is_out(std::uint32_t domain) const;
    [[nodiscard]] service_warmup warmup_of(std::uint32_t service) const;
    /// True if any service limits the openings at cold backend servers.
    [[nodiscard]] bool has_warmup_limit() const;
    /// Members of a service, including those whose removal took effect less
    /// than `removed_member_limit` ago.
    [[nodiscard]] std::span<member const* const> members_of(
        std::uint32_t service) const;
    /// Members of all services, as in `members_of`.
    [[nodiscard]] std::span<member const* const> members() const {
        update_index();
        return all_members_;
    }
    /// The service's member at this address, or null; of several, one that is
    /// not removed, then the one announced last.
    [[nodiscard]] member const* find(
        endpoint backend, std::uint32_t service) const;
    /// The service's member on this host, chosen as by `find` if there are
    /// several.
    [[nodiscard]] member const* find_at(
        std::uint32_t host, std::uint32_t service) const;
    /// Members of all services whose backend servers run on the host.
    [[nodiscard]] std::span<member const* const> members_at(
        std::uint32_t host) const;
    /// The member whose name follows `name`, or the first one; null if there is
    /// none. Sets `name` to its name, so that calls in a row return all.
    [[nodiscard]] member const* next_member(std::string& name) const;
    /// True if the member may be given openings.
    [[nodiscard]] bool is_eligible(instant now, member const& it) const;
    /// Time at which the failure domain was put back into service; default if
    /// never.
    [[nodiscard]] instant restored_at(std::uint32_t domain) const;

    /// Items with a new name that were ignored since the start because the view
    /// had `max_items`.
    [[nodiscard]] std::uint64_t ignored_items() const { return ignored_items_; }

    /// Limit of the items in the view, including removed ones whose revisions
    /// are retained. A source without end must not take all memory.
    static constexpr std::size_t max_items = 1U << 16U;
    /// Announcements of backend servers that are removed without draining this
    /// close together are assumed to have expired in an outage.
    static constexpr duration expiry_window = std::chrono::seconds(1);
    static constexpr duration removed_member_limit = std::chrono::seconds(60);
    /// Time for which the revision of a removed item is retained: a peer that
    /// was partitioned for an hour may still have the item.
    static constexpr duration removed_revision_limit = std::chrono::hours(2);
    static constexpr duration expiry_grace_period =
        std::chrono::milliseconds(2500);
    /// Announcements do not expire in a shorter outage, such as one lost reply.
    static constexpr duration min_outage = std::chrono::seconds(1);
    /// Time in which a backend server that lives announces itself again, and
    /// the announcement of one that has left expires.
    static constexpr duration announcer_rewrite_limit = std::chrono::seconds(5);
    /// Time in which operators write again what a restored service has lost.
    static constexpr duration operator_rewrite_limit = std::chrono::seconds(60);

private:
    void apply_routes(std::string const& name, route_set const& value);
    void apply_member(instant now, fleet_change const& change,
        backend_announcement const& it);
    void remove(instant now, std::string const& name);
    bool merge(instant now, fleet_change const& change);
    void set_content(instant now, fleet_change const& change);
    void apply_deferred(instant now);
    void apply_provisional(instant now, fleet_change const& change);
    /// Restores what the provisional item replaced.
    void restore(std::string const& name);
    void restore_routes();
    /// Rebuilds the indexes if a member was added, replaced or deleted since.
    void update_index() const;
    [[nodiscard]] route_set routes() const;
    [[nodiscard]] backend_announcement announcement_of(
        instant now, member const& it) const;

    /// Newest version of an item.
    struct held_version {
        item_version number;
        /// Revision of the content before the last change; 0: none.
        revision previous = 0;
        std::uint64_t previous_start = 0; ///< Of the backend server in it.
        instant removed_at;               ///< Default: the item exists.
    };

    /// A change of a restored service that takes effect at `due`, unless the
    /// item changes before.
    struct deferred_change {
        fleet_change change;
        instant due;
    };

    /// True if the service, in a later era than that of `held`, returns a state
    /// of the item that the view has seen replaced.
    [[nodiscard]] bool is_older_state(
        held_version const& held, fleet_change const& change) const;
    /// True if the service returns the announcement in effect in a later era.
    [[nodiscard]] bool is_same_content(
        held_version const& held, fleet_change const& change) const;
    void record_previous(held_version& held, std::string const& name) const;
    void defer(instant now, held_version& held, fleet_change const& change);
    /// True if the removal of the item has been deferred.
    [[nodiscard]] bool awaits_removal(std::string const& name) const;

    /// What a provisional item replaced.
    struct replaced_item {
        instant received_at; ///< Of the first provisional item.
        std::optional<held_version> held;
        std::optional<deferred_change> deferred;
        std::optional<member> announced;
        std::optional<std::uint32_t> domain_out;
        bool has_routes = false; ///< The provisional item has routes.
    };

    /// Routes that provisional ones replaced.
    struct replaced_routes {
        std::map<endpoint, route_entry> routes;
        std::vector<service_warmup> warmups;
        std::string name;
        std::uint64_t version = 0;
    };

    std::map<std::string, replaced_item, std::less<>> replaced_;
    std::optional<replaced_routes> replaced_routes_;
    std::map<std::string, held_version, std::less<>> versions_;
    std::map<std::string, deferred_change, std::less<>> deferred_;
    std::uint64_t deferred_changes_ = 0;
    internal::source_era era_;
    std::map<std::string, member, std::less<>> members_;
    // Rebuilt by the first look-up after a change: once for each change would
    // take time in proportion to the square of a page's items.
    mutable bool is_index_outdated_ = false;
    mutable std::vector<member const*> all_members_;
    mutable std::unordered_map<std::uint32_t, std::vector<member const*>>
        by_service_;
    mutable std::unordered_map<std::uint32_t, std::vector<member const*>>
        by_host_;
    instant next_prune_at_;
    std::map<std::string, std::uint32_t, std::less<>> domains_out_;
    std::map<std::uint32_t, instant> restored_at_;
    std::map<endpoint, route_entry> routes_;
    std::vector<service_warmup> warmups_;
    std::string routes_name_; ///< Name of the item with the routes.
    std::uint64_t version_ = 0;
    bool is_reachable_ = true;
    instant reachable_since_;
    instant unreachable_since_; ///< Begin of the last outage.
    instant last_expiry_at_;    ///< Last removal without draining.
    std::uint64_t ignored_items_ = 0;
};

} // namespace radishspread

#endif
