#ifndef RADISHSPREAD_CORE_RS_HOSTS_SECTION_HPP
#define RADISHSPREAD_CORE_RS_HOSTS_SECTION_HPP

#include <string>
#include <vector>

namespace radishspread {

/// One host in the platform's list, under the name of its backend server.
struct host_entry {
    std::string name;
    bool is_leaving = false;
};

/// Content of the section `hosts/DOMAIN`. The list may be outdated, so it only
/// serves as a hint.
struct hosts_section {
    std::vector<host_entry> hosts;
};

} // namespace radishspread

#endif
