#ifndef RADISHSPREAD_CORE_RS_ITEM_VERSION_HPP
#define RADISHSPREAD_CORE_RS_ITEM_VERSION_HPP

#include <radishspread/core/rs_ids.hpp>

#include <cstdint>

namespace radishspread {

/// Version of an item or of a reply. A configuration service that is restored
/// from a backup gives out revisions again, in a higher era; one that reports
/// no era has era 0.
struct item_version {
    std::uint64_t era = 0;
    radishspread::revision revision = 0;

    friend bool operator==(item_version const&, item_version const&) = default;
    friend bool operator<(item_version const& a, item_version const& b) {
        return a.era != b.era ? a.era < b.era : a.revision < b.revision;
    }
    friend bool operator>(item_version const& a, item_version const& b) {
        return b < a;
    }
};

} // namespace radishspread

#endif
