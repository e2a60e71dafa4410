#ifndef RADISHSPREAD_CORE_RS_FLEET_VIEW_HPP
#define RADISHSPREAD_CORE_RS_FLEET_VIEW_HPP

#include <radishspread/core/rs_fleet_change.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishspread {

/// Items of the shared configuration as one process knows them, merged item by
/// item: the higher revision stays in effect, whatever the order and source.
class fleet_view {
public:
    /// A backend server that is announced, or was until recently.
    struct member {
        std::uint32_t service = 0;
        std::uint32_t domain = 0;
        endpoint backend;
        std::uint16_t slots = 1;
        bool is_draining = false;
        instant cold_until;
        std::uint64_t start_unix_ms = 0;
        bool is_removed = false;
        instant removal_effective_at; ///< Time of removal, present or planned.
    };

    /// Merges one item. False if it is not newer than what is held.
    bool apply(instant now, fleet_change const& change);

    /// Ends a complete read of all items whose names begin with `prefix`:
    /// items that are not in `names` were removed before revision `as_of`.
    void finish_read(instant now, std::string_view prefix,
        std::set<std::string, std::less<>> const& names, revision as_of);

    /// The source of the items is out of reach or back. While it is away and
    /// for `expiry_grace_period` after, removed backend servers stay: their
    /// announcements may have lapsed because they could not renew them.
    void set_reachable(instant now, bool is_reachable);

    /// Items in effect whose names begin with `prefix`, for a peer.
    [[nodiscard]] std::vector<fleet_change> items(
        instant now, std::string_view prefix) const;

    /// Forgets backend servers that are gone for long.
    void tick(instant now);

    /// Route of the flows to `address`, or null.
    [[nodiscard]] route_entry const* route_of(endpoint address) const;
    /// Tag of the service that flows to `address` open at; 0 if none.
    [[nodiscard]] std::uint32_t service_of(endpoint address) const;
    /// True once routes were read.
    [[nodiscard]] bool has_routes() const { return version_ != 0; }
    [[nodiscard]] std::uint64_t route_version() const { return version_; }
    [[nodiscard]] bool is_out(std::uint32_t domain) const;
    [[nodiscard]] service_warmup warmup_of(std::uint32_t service) const;
    /// Members of a service, those gone less than `removed_member_limit` ago
    /// included.
    [[nodiscard]] std::span<member const* const> members_of(
        std::uint32_t service) const;
    /// Latest started member whose backend server has the address, or null.
    [[nodiscard]] member const* find(endpoint backend) const;
    /// Members whose backend servers run on the host.
    [[nodiscard]] std::span<member const* const> members_at(
        std::uint32_t host) const;
    /// True if the member may be given openings.
    [[nodiscard]] bool is_eligible(instant now, member const& it) const;
    /// Time at which a taken-out failure domain came back; default if never.
    [[nodiscard]] instant restored_at(std::uint32_t domain) const;

    /// Announcements that end unannounced this close together have lapsed.
    static constexpr duration expiry_window = std::chrono::seconds(1);
    static constexpr duration removed_member_limit = std::chrono::seconds(60);
    /// Time for which the revision of a removed item is kept: a peer that was
    /// parted for an hour may still have the item.
    static constexpr duration removed_revision_limit = std::chrono::hours(2);
    static constexpr duration expiry_grace_period =
        std::chrono::milliseconds(2500);

private:
    void apply_routes(std::string const& name, route_set const& value);
    void apply_member(
        instant now, std::string const& name, backend_announcement const& it);
    void remove(instant now, std::string const& name);
    void index_members();
    [[nodiscard]] route_set routes() const;
    [[nodiscard]] backend_announcement announcement_of(
        instant now, member const& it) const;

    /// Newest revision of an item.
    struct held_revision {
        radishspread::revision number = 0;
        instant removed_at; ///< Default: the item is there.
    };

    std::map<std::string, held_revision, std::less<>> revisions_;
    std::map<std::string, member, std::less<>> members_;
    std::unordered_map<std::uint32_t, std::vector<member const*>> by_service_;
    std::unordered_map<std::uint32_t, std::vector<member const*>> by_host_;
    instant next_prune_;
    std::map<std::string, std::uint32_t, std::less<>> domains_out_;
    std::map<std::uint32_t, instant> returned_;
    std::map<endpoint, route_entry> routes_;
    std::vector<service_warmup> warmups_;
    std::string routes_name_; ///< Item that the routes come from.
    std::uint64_t version_ = 0;
    bool is_reachable_ = true;
    instant reachable_since_;
    instant last_expiry_at_; ///< Last removal without draining.
};

} // namespace radishspread

#endif
