#ifndef RADISHSPREAD_CORE_RS_SERVICE_SECTION_HPP
#define RADISHSPREAD_CORE_RS_SERVICE_SECTION_HPP

#include <radishspread/core/rs_backend_entry.hpp>
#include <radishspread/core/rs_ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace radishspread {

/// Content of the section `service/NAME`.
struct service_section {
    std::string name;
    service_id id = 0;
    std::uint16_t port = 0; ///< Port of the service at each balancer.
    std::vector<backend_entry> backend_servers;
};

} // namespace radishspread

#endif
