#ifndef RADISHSPREAD_CORE_RS_ITEM_PAGE_HPP
#define RADISHSPREAD_CORE_RS_ITEM_PAGE_HPP

#include <radishspread/core/rs_fleet_change.hpp>

#include <string>
#include <vector>

namespace radishspread {

/// Decoded answer to one read or watch of the configuration.
struct item_page {
    std::vector<fleet_change> changes;
    revision as_of = 0;    ///< Revision up to which the answer is complete.
    bool has_more = false; ///< A read: further items after the last one.
    std::size_t unreadable = 0; ///< Items that say nothing usable.
};

} // namespace radishspread

#endif
