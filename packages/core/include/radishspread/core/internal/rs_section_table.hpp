#ifndef RADISHSPREAD_CORE_INTERNAL_RS_SECTION_TABLE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_SECTION_TABLE_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_section.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishspread::internal {

/// Result of inserting a section into the table.
enum class insert_result : std::uint8_t {
    accepted,
    not_newer,        ///< The same or a newer revision is in effect.
    wrong_content,    ///< The type of content does not match the name.
    too_large,        ///< Too long a text or invalid failure domains.
    table_full,       ///< The table has `max_sections` other sections.
    service_conflict, ///< Another section uses the service id or port.
};

/// Largest text of one section, in bytes; the configuration service's limit.
inline constexpr std::size_t max_section_text = 1U << 20U;

/// Maximum number of failure domains; their ids index a 64-bit set.
inline constexpr domain_id max_domains = 64;

/// Name of the section that lists the failure domains.
inline constexpr std::string_view domains_name = "domains";
/// Prefix of the names of host lists.
inline constexpr std::string_view hosts_prefix = "hosts/";

/// Sections in effect, by name and by service. The revision of a section never
/// decreases. Failure domains of backend servers have the numbers of the
/// `domains` section in effect, also in sections that were parsed with an older
/// revision of it.
class section_table {
public:
    using map_type = std::map<std::string, section_ptr, std::less<>>;

    section_table(std::size_t max_sections, std::size_t max_text);

    /// Checks `value` and, if the result is `accepted`, puts it into effect.
    insert_result insert(section_ptr const& value);

    /// Section in effect under `name`, or null.
    [[nodiscard]] section_ptr find(std::string_view name) const;
    /// Revision in effect of `name`; 0 if none.
    [[nodiscard]] revision held(std::string_view name) const;
    /// Section of a service, or null.
    [[nodiscard]] section const* service(service_id id) const;
    [[nodiscard]] revision domains_revision() const {
        return domains_revision_;
    }
    [[nodiscard]] bool is_out(domain_id id) const {
        return id >= 1 && id <= max_domains &&
               (out_domains_ >> (id - 1U) & 1U) != 0;
    }
    [[nodiscard]] bool is_leaving(std::string_view host) const {
        return leaving_hosts_.find(host) != leaving_hosts_.end();
    }
    /// True if the section accepted last may make a refused section of a
    /// service acceptable: it is `domains`, or it released a service id or
    /// port.
    [[nodiscard]] bool unblocks_services() const { return unblocks_services_; }
    /// Sum of the hashes of all names and revisions; independent of the order.
    [[nodiscard]] std::uint64_t view_hash() const { return view_hash_; }
    /// Number of accepted sections that are not sections of services.
    [[nodiscard]] std::uint64_t shared_changes() const {
        return shared_changes_;
    }
    /// Number of accepted sections of services.
    [[nodiscard]] std::uint64_t service_changes() const {
        return service_changes_;
    }
    /// Most recently accepted sections, newest first.
    [[nodiscard]] std::span<section_ptr const> recent() const {
        return recent_;
    }
    [[nodiscard]] map_type const& sections() const { return sections_; }

private:
    [[nodiscard]] insert_result check(section const& offered) const;
    [[nodiscard]] insert_result check_service(section const& offered) const;
    void apply_service(section_ptr const& value, section const* previous);
    void apply_domains(section const& value);
    /// `value` with the numbers of failure domains in `domains`; itself if they
    /// are already right.
    [[nodiscard]] section_ptr resolve(section_ptr const& value) const;
    [[nodiscard]] domain_id resolve(backend_entry const& entry) const;
    void apply_hosts();
    void note_recent(section_ptr const& value);

    std::size_t max_sections_;
    std::size_t max_text_;
    std::size_t text_bytes_ = 0;
    map_type sections_;
    std::unordered_map<service_id, section_ptr> services_;
    std::unordered_map<std::uint16_t, service_id> ports_;
    std::set<std::string, std::less<>> leaving_hosts_;
    std::vector<section_ptr> recent_;
    std::map<std::string, domain_id, std::less<>> domain_ids_;
    std::uint64_t out_domains_ = 0;
    bool unblocks_services_ = false;
    revision domains_revision_ = 0;
    std::uint64_t view_hash_ = 0;
    std::uint64_t shared_changes_ = 0;
    std::uint64_t service_changes_ = 0;
};

} // namespace radishspread::internal

#endif
