#ifndef RADISHSPREAD_CORE_RS_DOMAINS_SECTION_HPP
#define RADISHSPREAD_CORE_RS_DOMAINS_SECTION_HPP

#include <radishspread/core/rs_ids.hpp>

#include <string>
#include <vector>

namespace radishspread {

/// One failure domain.
struct domain_entry {
    std::string name;
    domain_id id = 0;
    std::string region;
    bool is_out = false; ///< Taken out of service.
};

/// Content of the section `domains`.
struct domains_section {
    std::vector<domain_entry> failure_domains;
};

} // namespace radishspread

#endif
