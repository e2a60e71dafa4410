#ifndef RADISHSPREAD_CORE_RS_BACKEND_ENTRY_HPP
#define RADISHSPREAD_CORE_RS_BACKEND_ENTRY_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <cstdint>
#include <string>

namespace radishspread {

/// One backend server in a service's section.
struct backend_entry {
    std::string name;
    backend_id id = 0;
    domain_id domain = 0;
    std::string domain_name; ///< As written in the section.
    endpoint agent;
    std::uint32_t slots = 1;       ///< Maximum number of concurrent requests.
    std::uint32_t connections = 1; ///< Maximum number of open flows.
    bool is_draining = false;
};

} // namespace radishspread

#endif
