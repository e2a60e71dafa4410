#ifndef RADISHSPREAD_CORE_RS_CANDIDATE_SELECTION_HPP
#define RADISHSPREAD_CORE_RS_CANDIDATE_SELECTION_HPP

#include <radishspread/core/rs_candidate.hpp>
#include <radishspread/core/rs_domains_section.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_hosts_section.hpp>
#include <radishspread/core/rs_service_section.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace radishspread {

/// Whether a backend server is a candidate of an opening, and why.
enum class candidate_status : std::uint8_t {
    chosen,       ///< One of the candidates.
    ranked_lower, ///< Eligible, but others rank higher for this flow.
    draining,     ///< Marked `draining` in the service's section.
    host_leaving, ///< Marked `leaving` in the host list.
    domain_out,   ///< Its failure domain was taken out.
};

/// Name of the value as printed by `explain`.
[[nodiscard]] std::string_view to_string(candidate_status value);

/// Status of a backend server before ranking: `ranked_lower` if it is eligible
/// for openings. `is_out(domain_id)` and `is_leaving(name)` look up the state
/// of the failure domains and the host lists.
template <class IsOut, class IsLeaving>
[[nodiscard]] candidate_status eligibility(
    backend_entry const& entry, IsOut&& is_out, IsLeaving&& is_leaving) {
    if (is_out(entry.domain))
        return candidate_status::domain_out;
    if (entry.is_draining)
        return candidate_status::draining;
    if (is_leaving(entry.name))
        return candidate_status::host_leaving;
    return candidate_status::ranked_lower;
}

/// The eligible backend servers of one service, prepared for selection by
/// weighted rendezvous hashing (weight: slots).
class candidate_table {
public:
    /// `suspect_index` is the index of this backend server's flag in the span
    /// that is passed to `select`.
    void add(backend_entry const& entry, std::uint32_t suspect_index = 0);

    /// Candidates of the flow, best first and suspects last, then rotated by
    /// `attempt`; every `max_candidates` attempts another set is selected.
    /// If `suspects` is empty, no backend server is suspect. Does not allocate.
    [[nodiscard]] candidate_list select(std::uint64_t flow_hash,
        std::uint8_t attempt,
        std::span<std::uint8_t const> suspects = {}) const;

    [[nodiscard]] bool is_empty() const { return rows_.empty(); }
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

private:
    struct row {
        std::uint64_t seed = 0;
        double inverse_weight = 1;
        std::uint32_t suspect_index = 0;
        candidate value;
    };
    std::vector<row> rows_;
    bool has_equal_weights_ = true;
};

/// Result of the selection for one backend server.
struct explained_backend {
    backend_entry const* entry = nullptr;
    candidate_status status = candidate_status::ranked_lower;
    std::size_t rank = 0; ///< Order of attempts, from 1; 0 if not chosen.
};

/// Explains the selection for the flow `key` by a balancer that suspects no
/// agent: one entry per backend server, in the order of the section. The
/// pointers in the result point into `service`. `domains` may be null.
[[nodiscard]] std::vector<explained_backend> explain_candidates(
    service_section const& service, domains_section const* domains,
    std::span<hosts_section const* const> hosts, flow_key const& key,
    std::uint8_t attempt = 0);

} // namespace radishspread

#endif
