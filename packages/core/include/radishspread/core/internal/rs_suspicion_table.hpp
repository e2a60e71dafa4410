#ifndef RADISHSPREAD_CORE_INTERNAL_RS_SUSPICION_TABLE_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_SUSPICION_TABLE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace radishspread::internal {

/// Hasher for tables keyed by endpoint.
struct endpoint_hash {
    std::size_t operator()(endpoint key) const {
        auto const value = std::uint64_t{key.address} << 16U | key.port;
        // Multiplicative hash by 2^64 over the golden ratio; the upper half
        // depends on all bits.
        return value * 0x9e3779b97f4a7c15U >> 32U;
    }
};

/// Which agents do not answer openings. One entry per known agent.
class suspicion_table {
public:
    /// Openings in a row without a reply that make an agent suspect.
    static constexpr unsigned misses_to_suspect = 2;

    suspicion_table(duration miss_window, duration suspect_time);

    /// Begins an update: agents not added again until `drop_unused` go.
    void mark_unused();

    /// Index of the agent, which is added if it is new. Indices change in
    /// `drop_unused`.
    std::uint32_t add(endpoint agent, domain_id domain);

    /// Ends an update.
    void drop_unused();

    /// Something arrived from the agent.
    void reply_received(endpoint agent);

    /// An opening had no reply. True if the agent has become suspect.
    bool reply_missed(endpoint agent, instant now);

    /// Ends suspicions that are over.
    void expire(instant now);

    /// One flag per index. Failure domains of which over half of the agents
    /// are suspect have no flag set: the link of this process is the likelier
    /// cause.
    [[nodiscard]] std::span<std::uint8_t const> flags() const { return flags_; }

private:
    struct agent_state {
        endpoint agent;
        domain_id domain = 0;
        bool is_used = true;
        bool is_suspect = false;
        unsigned misses = 0;
        instant last_miss_at;
        instant suspect_until;
    };

    void update_flags();

    duration miss_window_;
    duration suspect_time_;
    std::vector<agent_state> agents_;
    std::vector<std::uint8_t> flags_;
    std::unordered_map<endpoint, std::uint32_t, endpoint_hash> index_;
    std::size_t suspects_ = 0;
};

} // namespace radishspread::internal

#endif
