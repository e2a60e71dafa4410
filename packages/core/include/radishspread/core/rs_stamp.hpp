#ifndef RADISHSPREAD_CORE_RS_STAMP_HPP
#define RADISHSPREAD_CORE_RS_STAMP_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>

namespace radishspread {

/// Sender of a message and the revisions in effect there. Every message between
/// balancers and agents has a stamp, so that a receiver with an outdated view
/// detects it.
struct stamp {
    endpoint sender;
    incarnation_id incarnation = 0;
    revision service_revision = 0; ///< Of the section of the message's service.
    revision domains_revision = 0; ///< Of the section `domains`.

    friend bool operator==(stamp const&, stamp const&) = default;
};

} // namespace radishspread

#endif
