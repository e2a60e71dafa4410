#ifndef RADISHSPREAD_CORE_INTERNAL_RS_PENDING_OPENINGS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_PENDING_OPENINGS_HPP

#include <radishspread/core/rs_candidate.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/core/rs_trace_context.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace radishspread::internal {

/// An opening that was forwarded and has no reply yet.
struct pending_opening : boost::intrusive::list_base_hook<>,
                         boost::intrusive::unordered_set_base_hook<> {
    flow_key key;
    std::uint8_t attempt = 0;
    trace_context trace;
    candidate_list candidates; ///< The first one was sent the opening.
    instant sent;
};

/// Extracts the key of an entry for the intrusive table.
struct pending_opening_key {
    using type = flow_key;
    flow_key const& operator()(pending_opening const& opening) const {
        return opening.key;
    }
};

/// Pending openings, ordered by time of sending and indexed by flow. All memory
/// is allocated at construction.
class pending_openings {
public:
    explicit pending_openings(std::size_t capacity);
    ~pending_openings();
    pending_openings(pending_openings const&) = delete;
    pending_openings& operator=(pending_openings const&) = delete;

    /// Adds an entry for `key`; null if the table is full or already has one.
    pending_opening* add(flow_key const& key, instant now);
    /// Removes the entry of `key`, if any.
    void erase(flow_key const& key);
    /// Oldest entry if it was sent at or before `limit`, else null. The entry
    /// must be erased before the next call.
    pending_opening* oldest(instant limit);
    void clear();
    [[nodiscard]] bool is_empty() const { return pending_.empty(); }
    [[nodiscard]] bool is_full() const { return free_.empty(); }

private:
    using list = boost::intrusive::list<pending_opening>;
    using table = boost::intrusive::unordered_set<pending_opening,
        boost::intrusive::key_of_value<pending_opening_key>,
        boost::intrusive::hash<flow_key_hash>,
        boost::intrusive::equal<std::equal_to<flow_key>>,
        boost::intrusive::power_2_buckets<true>>;

    std::vector<pending_opening> entries_;
    std::vector<table::bucket_type> buckets_;
    list free_;
    list pending_;
    table by_key_;
};

} // namespace radishspread::internal

#endif
