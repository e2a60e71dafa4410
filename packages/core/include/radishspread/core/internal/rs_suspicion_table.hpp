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
        // Multiplicative hash with 2^64 divided by the golden ratio; the upper
        // half of the product depends on all bits.
        return value * 0x9e3779b97f4a7c15U >> 32U;
    }
};

/// Tracks which agents do not reply to openings. One entry per known agent.
class suspicion_table {
public:
    /// Number of consecutive openings without a reply after which an agent is
    /// suspect.
    static constexpr unsigned misses_to_suspect = 2;

    /// Misses further apart than `miss_window` are not consecutive. A suspicion
    /// expires `suspect_time` after the last miss.
    suspicion_table(duration miss_window, duration suspect_time);

    /// Begins an update: agents that are not added again before `drop_unused`
    /// are removed by it.
    void mark_unused();

    /// Returns the index of the agent, adding it if it is new. `drop_unused`
    /// changes indices.
    std::uint32_t add(endpoint agent, domain_id domain);

    /// Ends an update and removes the agents that were not added.
    void drop_unused();

    /// Records a message from the agent, which ends its suspicion.
    void reply_received(endpoint agent);

    /// Records an opening without a reply; true if the agent becomes suspect.
    bool reply_missed(endpoint agent, instant now);

    /// Ends the suspicions whose time has passed.
    void expire(instant now);

    /// One flag per index. No flag is set in a failure domain of which more
    /// than half of the agents are suspect, because then the network link of
    /// this process is the more likely cause.
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
