#ifndef RADISHSPREAD_CORE_INTERNAL_RS_AGENT_ANSWERS_HPP
#define RADISHSPREAD_CORE_INTERNAL_RS_AGENT_ANSWERS_HPP

#include <radishspread/core/internal/rs_agent_request_key.hpp>

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace radishspread::agent_internal {

/// Bodies of answers, stored for retransmissions. If a new answer exceeds the
/// total size limit, acknowledged answers are evicted first, oldest first, and
/// then unacknowledged ones, oldest first.
class stored_answers {
public:
    stored_answers(std::size_t max_total, std::size_t max_answer);

    /// Stores a copy of `body`; false if it exceeds the size limit of one
    /// answer.
    bool add(request_key key, std::span<std::byte const> body);

    /// Returns the body, or nothing if it was evicted or never stored.
    [[nodiscard]] std::optional<std::span<std::byte const>> find(
        request_key key) const;

    /// Records that the caller has received the whole answer.
    void acknowledge(request_key key);
    void erase(request_key key);

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct row {
        std::vector<std::byte> body;
        bool is_acknowledged = false;
        std::list<request_key>::iterator position;
    };

    void evict_oldest();

    std::size_t max_total_;
    std::size_t max_answer_;
    std::size_t size_ = 0; ///< Including `row_overhead` for each answer.
    std::map<request_key, row> rows_;
    std::list<request_key> acknowledged_;   ///< Oldest first.
    std::list<request_key> unacknowledged_; ///< Oldest first.
};

} // namespace radishspread::agent_internal

#endif
