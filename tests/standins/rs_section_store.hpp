#ifndef RADISHSPREAD_TESTS_STANDINS_RS_SECTION_STORE_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_SECTION_STORE_HPP

#include <radishspread/core/rs_ids.hpp>

#include <functional>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishspread::standins {

/// One revision of one section.
struct stored_section {
    revision revision_number = 0;
    std::string text;
};

/// The document with all its history, shared by the replicas of the
/// configuration service. A section's revision is the number of the edit.
class section_store {
public:
    static constexpr revision newest = std::numeric_limits<revision>::max();
    static constexpr std::size_t max_text_size = 1U << 20U;

    /// Stores a new revision and returns it; throws std::length_error above
    /// `max_text_size` bytes.
    revision edit(std::string const& name, std::string text);

    [[nodiscard]] revision index() const { return index_; }
    /// Newest revision of `name` up to `limit`, or null.
    [[nodiscard]] stored_section const* find(
        std::string const& name, revision limit = newest) const;
    /// Names and revisions newer than `after` as seen up to `limit`.
    [[nodiscard]] std::vector<std::pair<std::string, revision>> changes(
        revision after, revision limit) const;

    /// `action` is called after each edit, as long as the store lives.
    void on_edit(std::function<void()> action);

private:
    revision index_ = 0;
    std::map<std::string, std::vector<stored_section>> sections_;
    std::vector<std::function<void()>> listeners_;
};

} // namespace radishspread::standins

#endif
