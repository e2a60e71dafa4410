#ifndef RADISHSPREAD_CORE_RS_ITEM_PAGE_HPP
#define RADISHSPREAD_CORE_RS_ITEM_PAGE_HPP

#include <radishspread/core/rs_fleet_change.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishspread {

/// Decoded reply to one read or watch of the configuration.
struct item_page {
    std::vector<fleet_change> changes;
    revision as_of = 0;      ///< Revision up to which the reply is complete.
    bool has_more = false;   ///< Read: more items follow the last one.
    std::size_t unnamed = 0; ///< Items left out: no name or no revision.
    std::uint64_t era = 0;   ///< Of `as_of`, see `item_version`.

    [[nodiscard]] item_version version() const {
        return {.era = era, .revision = as_of};
    }
};

} // namespace radishspread

#endif
