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

/// One section at one revision.
struct stored_section {
    revision revision_number = 0;
    std::string text;
};

/// The document with the full history of its sections, shared by the replicas
/// of the configuration service. Edits are numbered consecutively across all
/// sections, and the revision of a section is the number of its edit.
class section_store {
public:
    /// Limit that hides no edits.
    static constexpr revision newest = std::numeric_limits<revision>::max();
    static constexpr std::size_t max_text_size = 1U << 20U;

    /// Stores a new revision and returns it; throws std::length_error above
    /// `max_text_size` bytes.
    revision edit(std::string const& name, std::string text);

    /// Revision of the latest edit; 0 if there was none.
    [[nodiscard]] revision index() const { return index_; }
    /// Section `name` at its newest revision up to `limit`; null if none.
    [[nodiscard]] stored_section const* find(
        std::string const& name, revision limit = newest) const;
    /// Names and revisions of the sections that changed after the revision
    /// `after`; edits after `limit` are ignored.
    [[nodiscard]] std::vector<std::pair<std::string, revision>> changes(
        revision after, revision limit) const;

    /// Registers `action` to be called after each edit. It cannot be removed
    /// and must remain valid while the store is edited.
    void on_edit(std::function<void()> action);

private:
    revision index_ = 0;
    std::map<std::string, std::vector<stored_section>> sections_;
    std::vector<std::function<void()>> listeners_;
};

} // namespace radishspread::standins

#endif
