#ifndef RADISHSPREAD_CORE_RS_SECTION_HPP
#define RADISHSPREAD_CORE_RS_SECTION_HPP

#include <radishspread/core/rs_domains_section.hpp>
#include <radishspread/core/rs_hosts_section.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_service_section.hpp>

#include <memory>
#include <string>
#include <variant>

namespace radishspread {

/// One section of the document at one revision, parsed and validated.
struct section {
    std::string name;  ///< "domains", "service/NAME" or "hosts/DOMAIN".
    revision held = 0; ///< Revision of this section.
    std::string text;  ///< Source text, which is sent to peers unchanged.
    std::variant<domains_section, service_section, hosts_section> content;
};

/// Sections are immutable and shared between tables.
using section_ptr = std::shared_ptr<section const>;

} // namespace radishspread

#endif
